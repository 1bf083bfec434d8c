/**
 * Every log event of the gateway with its level, fields and meaning. The reference
 * (docs/reference/events.md) is generated from them.
 *
 * @module
 */

import type { Log } from "../log.ts";
import type { EndReport } from "../process_end.ts";
import { FIELDS } from "./event_fields.ts";

type Fields = typeof FIELDS;

/** Name of a field. */
export type FieldName = keyof Fields;

/** An event. */
export interface EventDescription {
  readonly level: "error" | "warn" | "info" | "debug";
  readonly meaning: string;
  readonly fields: readonly FieldName[];
  /** Fields that are present only if they apply. */
  readonly optional?: readonly FieldName[];
}

/** All events. */
export const EVENTS = {
  "started": {
    level: "info",
    meaning:
      "The process begins to follow the platform's store. It listens, except on ports that another process holds (`task failed`).",
    fields: [],
  },
  "leaving": {
    level: "info",
    meaning:
      "The process was asked to stop; look-ups no longer return this VM. Short of processor time, it may have noticed that late.",
    fields: ["lateMs"],
  },
  "stopped": {
    level: "info",
    meaning: "The planned stop is complete.",
    fields: ["open"],
  },
  "settings read": {
    level: "info",
    meaning: "The process was notified of changed settings, which are valid.",
    fields: [],
  },
  "settings not used": {
    level: "warn",
    meaning:
      "The process was notified of changed settings, which are invalid and not used; the findings are on standard error.",
    fields: [],
  },
  "settings left out": {
    level: "warn",
    meaning:
      "Optional settings cannot be used; their defaults are in effect. The reason names each place.",
    fields: ["reason"],
  },
  "cannot go on": {
    level: "error",
    meaning: "The process cannot continue and exits.",
    fields: ["reason", "origin"],
    optional: ["stack"],
  },
  "task failed": {
    level: "error",
    meaning:
      "A task of the process failed, or cannot start. It is restarted; without a resource, such as its port, it is tried again until that is free. Further tries that fail for the same reason have a line each minute.",
    fields: ["task", "reason"],
  },
  "task restarted": {
    level: "info",
    meaning: "A failed task of the process was restarted.",
    fields: ["task"],
  },
  "processor short": {
    level: "warn",
    meaning:
      "This VM gets too little processor time for its callers; look-ups leave it out while most VMs of the region have enough.",
    fields: [],
  },
  "processor ample": {
    level: "info",
    meaning: "This VM has enough processor time for its callers again.",
    fields: [],
  },
  "contact lost": {
    level: "warn",
    meaning:
      "Neither the platform's store nor a relay responds; the data read so far stays in use.",
    fields: ["subject"],
    optional: ["reason"],
  },
  "contact regained": {
    level: "info",
    meaning: "The platform's store or a relay responds again.",
    fields: ["subject"],
  },
  "connections silent": {
    level: "warn",
    meaning:
      "Open connections to the platform's store, or to another VM that passes its changes on, carried nothing any more, while a new one did: the calls on them are repeated.",
    fields: [],
    optional: ["peer"],
  },
  "store restored": {
    level: "warn",
    meaning:
      "The platform's store came back from a copy: what was written shortly before is gone, and versions are given out again.",
    fields: ["era", "eraBefore"],
  },
  "store era unreadable": {
    level: "warn",
    meaning:
      "A response of the platform's store does not name its history, or not as one number: it counts as one of the history named last. One line until a response names it again.",
    fields: ["era"],
    optional: ["reason"],
  },
  "store history adopted": {
    level: "warn",
    meaning:
      "This VM uses the rows of another history of the platform's store from now on, read from the store or a relay; what the store has lost is kept for a while. If its number is lower than before, or the same, the store does not count its histories on.",
    fields: ["subject", "era", "eraBefore"],
  },
  "store history refuted": {
    level: "warn",
    meaning:
      "Another VM named a history of the platform's store that a later read does not have: it is left alone until the store names it.",
    fields: ["subject", "claimed", "era"],
  },
  "store history gone": {
    level: "info",
    meaning:
      "The platform's store does not have the version that this VM has read up to: all rows are read again.",
    fields: ["table"],
  },
  "restored rows held": {
    level: "warn",
    meaning:
      "The platform's store came back from a copy in which rows are outdated or missing, or back though they were removed: what this VM knew before stays in use until they are written again, or for a while. The first ten are named.",
    fields: ["subject", "era", "rows", "keys"],
  },
  "store response not used": {
    level: "warn",
    meaning:
      "A response of the platform's store belongs to another history than this VM expects: its rows are not used. One line for each such history in a row.",
    fields: ["subject", "era"],
  },
  "rows not applied": {
    level: "error",
    meaning:
      "Rows of the platform's store were read, but applying them failed: parts of them may not be in force. They are applied again each second; one line for each reason in a row.",
    fields: ["subject", "reason"],
  },
  "relay left alone": {
    level: "info",
    meaning:
      "A relay, a VM that passes the store's changes on, is not used for a while: it does not respond, its data is stale, or the store refused it.",
    fields: ["subject", "peer", "reason"],
  },
  "call given up": {
    level: "info",
    meaning:
      "A call to the platform's store, or to a relay, is given up before its response is complete, also because that is too large; what had arrived of it is lost. Calls that ask for changes are made again.",
    fields: ["subject", "forMs", "bytes", "arrivingMs", "reason"],
    optional: ["peer"],
  },
  "change read late": {
    level: "warn",
    meaning:
      "A change came late: other VMs knew of it for a second or more, which `forMs` tells, or the store had not confirmed this VM's rows for long. The other fields tell of the call that brought it, from the VM that `peer` names or from the store.",
    fields: ["subject", "storeVersion", "forMs", "unconfirmedMs"],
    optional: ["peer", "bytes", "callMs", "arrivingMs"],
  },
  "second source asked": {
    level: "info",
    meaning:
      "The source of changes in use is slow, the VM that `slowPeer` names or the store, and another one is asked beside it: `peer`, or the store.",
    fields: ["subject", "unconfirmedMs"],
    optional: ["peer", "slowPeer"],
  },
  "own row not written": {
    level: "warn",
    meaning:
      "This VM could not register itself in the platform's store; it tries again.",
    fields: ["reason"],
  },
  "configuration in force": {
    level: "info",
    meaning: "A version of the configuration came into force on this VM.",
    fields: ["revision", "era", "storeVersion"],
  },
  "configuration goes on from a copy": {
    level: "warn",
    meaning:
      "A configuration that was written after the store was restored from a copy comes into force, though its version is not higher than that of the one before.",
    fields: ["revision", "previous", "era", "storeVersion"],
  },
  "configuration passed over": {
    level: "warn",
    meaning:
      "A configuration was read whose version is not higher than the one in force, of the same history of the store; the one in force stays in force.",
    fields: ["revision", "offered", "era", "storeVersion"],
  },
  "configuration not used": {
    level: "warn",
    meaning: "A configuration cannot be used; the previous one stays in force.",
    fields: ["reason"],
  },
  "configuration entry not used": {
    level: "warn",
    meaning:
      "A route, service or account of the configuration cannot be read and is left out, or a route's type is unknown and its requests run at most once.",
    fields: ["reason"],
  },
  "zone evacuated": {
    level: "info",
    meaning: "No more requests are sent to targets of a zone.",
    fields: ["zone"],
  },
  "zone taken back": {
    level: "info",
    meaning:
      "The evacuation of a zone is over: its targets are used again, at first as cold targets.",
    fields: ["zone"],
  },
  "peer up": {
    level: "info",
    meaning: "Heartbeats of other VMs arrive, and the VMs are used.",
    fields: ["peer"],
  },
  "peer down": {
    level: "info",
    meaning:
      "Heartbeats of other VMs no longer arrive; look-ups no longer return the VMs.",
    fields: ["peer"],
  },
  "fleet size changed": {
    level: "info",
    meaning:
      "The number of VMs by which this one divides limits of the whole fleet has changed.",
    fields: ["fleetVms", "fleetVmsBefore"],
  },
  "retries used up": {
    level: "warn",
    meaning:
      "A request is not retried, because this VM has sent its part of the retries that all VMs together may send to the service. One line for each service and window.",
    fields: ["service", "retries", "requests", "fleetVms", "runningMs"],
  },
  "peer leaving": {
    level: "info",
    meaning: "Other VMs were asked to stop; look-ups no longer return them.",
    fields: ["peer"],
  },
  "peer ended": {
    level: "warn",
    meaning:
      "The process of another VM of the zone ended by itself: it said so (`failed`), or its next process was heard and it had said nothing (`unannounced`). A planned stop has the line `peer leaving`.",
    fields: ["peer", "reason"],
  },
  "targets listed": {
    level: "info",
    meaning:
      "Number of targets of a service in the first list after the start; each later change has a line of its own.",
    fields: ["service", "targets"],
  },
  "target added": {
    level: "info",
    meaning: "The platform lists a new target.",
    fields: ["target", "service", "zone"],
  },
  "target leaving": {
    level: "info",
    meaning: "The platform lists a target as leaving: it gets no new requests.",
    fields: ["target", "service", "zone"],
  },
  "target leaving by its answer": {
    level: "info",
    meaning:
      "A target announced in a response that it is leaving, before the platform's list showed it: it gets no new requests.",
    fields: ["target", "service", "zone"],
  },
  "target restarted": {
    level: "info",
    meaning:
      "A new run of a target uses the same id: the target is cold and connections to the previous run are closed.",
    fields: ["target", "service", "zone"],
  },
  "target gone": {
    level: "info",
    meaning:
      "A target was removed: the platform has not listed it for longer than an entry may be missing after an outage.",
    fields: ["target", "service", "zone"],
  },
  "target back": {
    level: "info",
    meaning: "A target whose entry was missing is listed again.",
    fields: ["target", "service", "zone"],
  },
  "target silent": {
    level: "warn",
    meaning:
      "A target is unresponsive: it has not responded for longer than its queue explains. It gets no requests and is probed.",
    fields: ["target"],
  },
  "crash counted": {
    level: "warn",
    meaning:
      "A target crashed on which an attempt of this request had broken; the other VMs are told. With `silentVms` above 0, some may not hear it.",
    fields: ["digest", "target", "crashes", "silentVms"],
  },
  "crash not counted": {
    level: "info",
    meaning:
      "A target may have crashed on which an attempt of this request had broken, but that does not count against the request: a target responded to it shortly before, or since (`succeeded`), or this VM reaches no targets (`no-links`).",
    fields: ["digest", "target", "reason"],
  },
  "crash reported": {
    level: "info",
    meaning:
      "Another VM counted a crash of a target against this request, of which this VM did not know.",
    fields: ["digest", "target", "crashes"],
  },
  "crashes recorded": {
    level: "info",
    meaning:
      "The requests that crash targets, as this VM knows of them, were written to the platform's store for VMs that do not hear this one.",
    fields: ["suspects"],
  },
  "crashes not recorded": {
    level: "warn",
    meaning: "They could not be written; it is tried again.",
    fields: ["reason"],
  },
  "crash reports without room": {
    level: "warn",
    meaning:
      "The reports to other VMs had no room for some requests under which several targets crashed; 0 when they have room for all again.",
    fields: ["suspects"],
  },
  "request held back": {
    level: "warn",
    meaning:
      "Several targets crashed under this request: repeats of it are refused for a while (`held-back` in `request ended`).",
    fields: ["digest", "forMs", "crashes"],
  },
  "target answers again": {
    level: "info",
    meaning: "A probe found an unresponsive target healthy again.",
    fields: ["target"],
  },
  "reach in doubt": {
    level: "info",
    meaning:
      "Several targets failed within a few seconds: this VM checks on new connections whether others respond.",
    fields: [],
  },
  "targets not reached": {
    level: "warn",
    meaning:
      "No checked target responded on a new connection: this VM is cut off from all targets, and what it sees of them says nothing about their health.",
    fields: [],
  },
  "targets reached": {
    level: "info",
    meaning: "A checked target responded on a new connection.",
    fields: [],
  },
  "request not forwarded": {
    level: "warn",
    meaning:
      "Another VM did not respond to a request that this VM, which reaches no target, forwarded to it.",
    fields: ["request", "peer", "end", "durationMs", "reason"],
  },
  "target asks for rest": {
    level: "warn",
    meaning:
      "A target refused a request and asked for a back-off: this VM sends it no requests for a while.",
    fields: ["target", "restMs"],
  },
  "target limited": {
    level: "warn",
    meaning:
      "An overloaded target stated or changed a limit on the requests of all VMs together.",
    fields: ["target", "perSecond", "source"],
  },
  "target not limited": {
    level: "info",
    meaning: "A target that had stated a limit no longer states one.",
    fields: ["target", "source"],
  },
  "homes owned": {
    level: "info",
    meaning:
      "This VM is the owner of a service's homes: from now on it assigns homes to the objects of its region's callers.",
    fields: ["service", "term", "vms"],
  },
  "homes not owned": {
    level: "info",
    meaning:
      "This VM is no longer the owner of a service's homes: another VM of the region is, or the service has no homes by load any more.",
    fields: ["service", "term", "vms"],
  },
  "homes assigned": {
    level: "info",
    meaning: "What an owner has assigned; at most every 10 s for each service.",
    fields: [
      "service",
      "term",
      "objects",
      "homes",
      "secondHomes",
      "moved",
      "peakLoad",
    ],
  },
  "homes unanswered": {
    level: "warn",
    meaning:
      "Owners did not answer queries for homes in time; the requests went by the rendezvous order instead. At most one line every 10 s.",
    fields: ["queries"],
  },
  "homes message not sent": {
    level: "error",
    meaning: "A message about homes is too long for a datagram.",
    fields: ["service", "reason"],
  },
  "probe failed": {
    level: "debug",
    meaning: "A probe of an unresponsive target failed.",
    fields: ["target", "reason"],
  },
  "target entry cannot be read": {
    level: "warn",
    meaning:
      "An entry of the platform's list of targets is invalid; the target is not used.",
    fields: ["target"],
  },
  "member entry cannot be read": {
    level: "info",
    meaning:
      "The entry of a VM was written by another version of the program; the VM becomes known by its heartbeats.",
    fields: ["peer"],
  },
  "connection not accepted": {
    level: "error",
    meaning: "A caller's connection could not be accepted.",
    fields: ["reason"],
  },
  "connections used up": {
    level: "warn",
    meaning:
      "Callers have as many connections open as they may (`caller_connections`): for each new one, the one that has been idle longest is closed.",
    fields: ["open"],
  },
  "connections enough": {
    level: "info",
    meaning: "Callers have fewer connections open than they may again.",
    fields: ["open"],
  },
  "request refused": {
    level: "info",
    meaning:
      "A request was refused before it was accepted for a target; it has no line `request ended`.",
    fields: [
      "request",
      "reason",
      "revision",
      "era",
      "storeVersion",
      "operatorMs",
    ],
    optional: ["key", "accountsMs"],
  },
  "attempt failed": {
    level: "warn",
    meaning: "A target did not respond to a request, or did not run it.",
    fields: ["request", "target", "end", "durationMs"],
    optional: ["reason", "running", "waiting"],
  },
  "request ended": {
    level: "info",
    meaning:
      "A request got its final response. Beyond 200 lines a second, requests that succeeded in time are left out; refused, failed and late ones never are.",
    fields: [
      "request",
      "route",
      "revision",
      "service",
      "object",
      "end",
      "attempts",
      "durationMs",
      "waitedMs",
    ],
    optional: [
      "account",
      "accountsMs",
      "newsMs",
      "retryAfterMs",
      "heldMs",
      "heldBytes",
      "target",
      "targetMs",
      "targetEnd",
      "via",
      "from",
      "placement",
      "cause",
      "running",
      "waiting",
    ],
  },
  "exchange failed": {
    level: "error",
    meaning:
      "An internal error of the gateway ended a request with status 502, or by closing the connection if the response had begun.",
    fields: ["request", "reason"],
  },
  "memory not read": {
    level: "warn",
    meaning:
      "The system did not tell the size of the process; a usual size is assumed when memory for responses is set.",
    fields: ["reason"],
  },
  "memory short": {
    level: "warn",
    meaning:
      "The process is close to the VM's memory, beyond which it would be killed: new requests are refused as not run (`memory-used-up`).",
    fields: ["residentBytes"],
  },
  "memory enough": {
    level: "info",
    meaning: "There is memory for new requests again.",
    fields: ["residentBytes", "forMs"],
  },
  "lines thinned": {
    level: "info",
    meaning:
      "Number of lines about requests that succeeded in time and were left out.",
    fields: ["lines"],
  },
} as const satisfies Record<string, EventDescription>;

type Events = typeof EVENTS;

/** Name of an event. */
export type EventName = keyof Events;

type ValueOf<F extends FieldName> = Fields[F]["type"] extends "number" ? number
  : string;
type OptionalOf<E extends EventName> = Events[E] extends
  { optional: readonly (infer F extends FieldName)[] } ? F : never;

/** The fields of an event's log line. */
export type EventFields<E extends EventName> =
  & { readonly [F in Events[E]["fields"][number]]: ValueOf<F> }
  & { readonly [F in OptionalOf<E>]?: ValueOf<F> };

/** Typed front of a log: writes only the events above, with their fields. */
export class EventLog {
  readonly #log: Log;

  constructor(log: Log) {
    this.#log = log;
  }

  /** Lines dropped because the reader of the log did not keep up. */
  get dropped(): number {
    return this.#log.droppedLines;
  }

  /** Writes why the process ends; the last line of the process is written when this returns. */
  reportEnd(report: EndReport, { isLast }: { isLast: boolean }): void {
    if (isLast) {
      this.#log.beginEnd();
    }
    this.write("cannot go on", report);
  }

  write<E extends EventName>(event: E, fields: EventFields<E>): void {
    this.#log[EVENTS[event].level](event, fields);
  }
}
