/**
 * Messages about homes as datagrams: JSON-RPC 2.0 notifications whose lists are
 * packed in base64.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { RegionId, ServiceId } from "@poplarthread/ids";
import type {
  DemandReport,
  HomeMessage,
  HomeQuery,
  ObjectDemand,
  ObjectHomes,
  ObservedLoad,
  OwnerTerm,
  PriorityDemand,
  RoomShare,
  TargetObservation,
  TargetShare,
} from "@poplarthread/placement";
import * as z from "zod";
import { decodeNotification, encodeNotification } from "../peer_messages.ts";
import { PackedReader, PackedWriter } from "./packed_numbers.ts";

/** Longest datagram: one that fits into an Ethernet frame. */
const MAX_DATAGRAM_BYTES = 1_399;
/** Precision of times: a tenth of a millisecond. */
const PER_MS = 10;
/** Precision of shares and loads. */
const PER_UNIT = 1_000;

const service = z.string() as unknown as z.ZodType<ServiceId>;
const region = z.string() as unknown as z.ZodType<RegionId>;
const term = z.string() as unknown as z.ZodType<OwnerTerm>;
const sequence = z.number().int().min(0);

const headSchema = z.discriminatedUnion("method", [
  z.object({ method: z.literal("home-query"), params: z.object({ service }) }),
  z.object({
    method: z.literal("home-update"),
    params: z.object({
      service,
      term,
      sequence: sequence.optional(),
      after: sequence,
    }),
  }),
  z.object({
    method: z.literal("home-report"),
    params: z.object({
      service,
      number: sequence,
      term: term.optional(),
      sequence,
      namesEarlierHomes: z.boolean(),
    }),
  }),
  z.object({ method: z.literal("home-loads"), params: z.object({ service }) }),
  z.object({
    method: z.literal("home-summary"),
    params: z.object({ service, region }),
  }),
]);

const packedSchema = z.object({ packed: z.string() });

/** Method and parameters of a notification, without the packed lists. */
type MessageHead = z.output<typeof headSchema>;

/** Encodes a message; undefined if it is too long for a datagram. */
export function encodeHomeMessage(message: HomeMessage): Buffer | undefined {
  const { method, params } = headOf(message);
  const datagram = encodeNotification(method, {
    ...params,
    packed: pack(message),
  });
  return datagram.length <= MAX_DATAGRAM_BYTES ? datagram : undefined;
}

/** Decodes a datagram; undefined if it is malformed. */
export function decodeHomeMessage(datagram: Buffer): HomeMessage | undefined {
  const notification = decodeNotification(datagram);
  const head = headSchema.safeParse(notification).data;
  const lists = packedSchema.safeParse(notification?.params).data;
  if (head === undefined || lists === undefined) {
    return undefined;
  }
  const reader = new PackedReader(lists.packed);
  const message = readMessage(head, reader);
  return reader.isComplete ? message : undefined;
}

function headOf(message: HomeMessage): MessageHead {
  const { service } = message;
  switch (message.kind) {
    case "query":
      return { method: "home-query", params: { service } };
    case "update": {
      const { term, sequence, after } = message;
      return {
        method: "home-update",
        params: { service, term, sequence, after },
      };
    }
    case "report": {
      const { number, term, sequence, namesEarlierHomes } = message.report;
      return {
        method: "home-report",
        params: { service, number, term, sequence, namesEarlierHomes },
      };
    }
    case "loads":
      return { method: "home-loads", params: { service } };
    case "summary": {
      const { region } = message;
      return { method: "home-summary", params: { service, region } };
    }
  }
}

function pack(message: HomeMessage): string {
  const writer = new PackedWriter();
  switch (message.kind) {
    case "query":
      writer.list(message.queries, (query) => writeQuery(writer, query));
      break;
    case "update":
      writer.list(message.room, (room) => writeRoom(writer, room));
      writer.list(message.homes, (homes) => writeHomes(writer, homes));
      break;
    case "report":
      writeReport(writer, message.report);
      break;
    case "loads":
      writer.list(message.loads, (load) => writeObserved(writer, load));
      break;
    case "summary":
      writer.list(message.loads, (load) => writeLoad(writer, load));
      break;
  }
  return writer.text();
}

function readMessage(head: MessageHead, reader: PackedReader): HomeMessage {
  switch (head.method) {
    case "home-query": {
      const queries = reader.list(() => readQuery(reader));
      return { kind: "query", ...head.params, queries };
    }
    case "home-update": {
      const { service, term, sequence, after } = head.params;
      const room = reader.list(() => readRoom(reader));
      const homes = reader.list(() => readHomes(reader));
      return { kind: "update", service, term, sequence, after, homes, room };
    }
    case "home-report": {
      const { service, number, term, sequence, namesEarlierHomes } =
        head.params;
      const counted = readReport(reader);
      const report = { number, term, sequence, namesEarlierHomes, ...counted };
      return { kind: "report", service, report };
    }
    case "home-loads": {
      const loads = reader.list(() => readObserved(reader));
      return { kind: "loads", ...head.params, loads };
    }
    case "home-summary": {
      const loads = reader.list(() => readLoad(reader));
      return { kind: "summary", ...head.params, loads };
    }
  }
}

function writeQuery(
  writer: PackedWriter,
  { object, workMs, wanted }: HomeQuery,
): void {
  writer.hash(object);
  writer.amount(workMs, PER_MS);
  writer.amount(wanted === "another" ? 1 : 0);
}

function readQuery(reader: PackedReader): HomeQuery {
  return {
    object: reader.hash(),
    workMs: reader.amount(PER_MS),
    wanted: reader.share(1) === 1 ? "another" : "any",
  };
}

function writeHomes(
  writer: PackedWriter,
  { object, targets }: ObjectHomes,
): void {
  writer.hash(object);
  writer.list(targets, (target) => writer.hash(target));
}

function readHomes(reader: PackedReader): ObjectHomes {
  return { object: reader.hash(), targets: reader.list(() => reader.hash()) };
}

function writeRoom(
  writer: PackedWriter,
  { priority, admitted, returnMs }: RoomShare,
): void {
  writer.amount(priority);
  writer.amount(admitted, PER_UNIT);
  writer.amount(returnMs, PER_MS);
}

function readRoom(reader: PackedReader): RoomShare {
  return {
    priority: reader.amount(),
    admitted: reader.share(PER_UNIT),
    returnMs: reader.amount(PER_MS),
  };
}

function writeObserved(
  writer: PackedWriter,
  { target, requests, pace }: ObservedLoad,
): void {
  writer.hash(target);
  writer.amount(requests);
  writePace(writer, pace);
}

function readObserved(reader: PackedReader): ObservedLoad {
  return {
    target: reader.hash(),
    requests: reader.amount(),
    pace: readPace(reader),
  };
}

function writePace(writer: PackedWriter, pace: number | undefined): void {
  writer.list(
    pace === undefined ? [] : [pace],
    (known) => writer.amount(known, PER_UNIT),
  );
}

function readPace(reader: PackedReader): number | undefined {
  return reader.list(() => reader.amount(PER_UNIT))[0];
}

function writeLoad(
  writer: PackedWriter,
  { target, busySlots }: TargetShare,
): void {
  writer.hash(target);
  writer.amount(busySlots, PER_UNIT);
}

function readLoad(reader: PackedReader): TargetShare {
  return { target: reader.hash(), busySlots: reader.amount(PER_UNIT) };
}

function writeReport(writer: PackedWriter, report: DemandReport): void {
  writer.amount(report.spanMs, PER_MS);
  writer.list(report.priorities, (demand) => writePriority(writer, demand));
  writer.list(report.targets, (seen) => writeObservation(writer, seen));
  writer.list(report.objects, (demand) => writeDemand(writer, demand));
}

function readReport(
  reader: PackedReader,
): Pick<DemandReport, "spanMs" | "priorities" | "targets" | "objects"> {
  return {
    spanMs: reader.amount(PER_MS),
    priorities: reader.list(() => readPriority(reader)),
    targets: reader.list(() => readObservation(reader)),
    objects: reader.list(() => readDemand(reader)),
  };
}

function writePriority(writer: PackedWriter, demand: PriorityDemand): void {
  writer.amount(demand.priority);
  writer.amount(demand.requests);
  writer.amount(demand.refused);
  writer.amount(demand.workMs, PER_MS);
}

function readPriority(reader: PackedReader): PriorityDemand {
  return {
    priority: reader.amount(),
    requests: reader.amount(),
    refused: reader.amount(),
    workMs: reader.amount(PER_MS),
  };
}

function writeObservation(
  writer: PackedWriter,
  observation: TargetObservation,
): void {
  writer.hash(observation.target);
  writePace(writer, observation.pace);
  writer.amount(observation.requests);
}

function readObservation(reader: PackedReader): TargetObservation {
  return {
    target: reader.hash(),
    pace: readPace(reader),
    requests: reader.amount(),
  };
}

function writeDemand(writer: PackedWriter, demand: ObjectDemand): void {
  writeHomes(writer, demand);
  writer.amount(demand.requests);
  writer.amount(demand.workMs, PER_MS);
}

function readDemand(reader: PackedReader): ObjectDemand {
  // Field by field: a spread is slow, and reports list many objects.
  return {
    object: reader.hash(),
    targets: reader.list(() => reader.hash()),
    requests: reader.amount(),
    workMs: reader.amount(PER_MS),
  };
}
