/**
 * Messages about homes as datagrams: JSON-RPC 2.0 notifications whose lists are
 * packed in base64. A message that is too long for one datagram is sent in parts.
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
  OwnerTerm,
  PriorityDemand,
  RoomShare,
  TargetObservation,
  TargetShare,
} from "@poplarthread/placement";
import * as z from "zod";
import { encodeNotification } from "../peer_messages.ts";
import { PackedReader, PackedWriter } from "./packed_numbers.ts";

/** Longest datagram: one that fits into an Ethernet frame. */
const MAX_DATAGRAM_BYTES = 1_399;
/** Parts of one message; a longer one cannot be sent. */
export const MAX_PARTS = 64;
/** Precision of times: a tenth of a millisecond. */
const PER_MS = 10;
/** Precision of shares and loads. */
const PER_UNIT = 1_000;

/** Which part of a message a datagram has. */
export interface PartNumber {
  /** Same in all parts of a message, and different in the sender's other messages. */
  readonly message: number;
  readonly index: number;
  readonly count: number;
}

/** The contents of one datagram. */
export interface HomeDatagram {
  readonly head: MessageHead;
  /** The packed lists, or a part of them. */
  readonly packed: string;
  /** Undefined if the datagram has the whole message. */
  readonly part: PartNumber | undefined;
}

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
    params: z.object({ service, term: term.optional(), sequence }),
  }),
  z.object({
    method: z.literal("home-summary"),
    params: z.object({ service, region }),
  }),
]);

const partSchema = z.object({
  packed: z.string(),
  part: z.tuple([
    z.number().int().min(0),
    z.number().int().min(0),
    z.number().int().min(2).max(MAX_PARTS),
  ]).optional(),
});

/** Method and parameters of a notification, without the packed lists. */
export type MessageHead = z.output<typeof headSchema>;

/**
 * Encodes a message as one or more datagrams; none if it is too long. `id`
 * identifies the message among those that the sender sent lately.
 */
export function encodeHomeMessage(
  message: HomeMessage,
  id: number,
): readonly Buffer[] {
  const head = headOf(message);
  const packed = pack(message);
  const whole = encode({ head, packed, part: undefined });
  if (whole.length <= MAX_DATAGRAM_BYTES) {
    return [whole];
  }
  const longest = { message: id, index: MAX_PARTS, count: MAX_PARTS };
  const room = MAX_DATAGRAM_BYTES -
    encode({ head, packed: "", part: longest }).length;
  const count = Math.ceil(packed.length / room);
  if (room <= 0 || count > MAX_PARTS) {
    return [];
  }
  return Array.from({ length: count }, (_, index) =>
    encode({
      head,
      packed: packed.slice(index * room, (index + 1) * room),
      part: { message: id, index, count },
    }));
}

/** Decodes a datagram; undefined if it is malformed. */
export function decodeHomeDatagram(bytes: Buffer): HomeDatagram | undefined {
  let notification: unknown;
  try {
    notification = JSON.parse(bytes.toString("utf8"));
  } catch {
    // Not JSON, so not from a VM of this deployment.
    return undefined;
  }
  const head = headSchema.safeParse(notification).data;
  const { params } = (notification ?? {}) as { params?: unknown };
  const rest = partSchema.safeParse(params).data;
  if (head === undefined || rest === undefined) {
    return undefined;
  }
  const { packed, part: numbers } = rest;
  if (numbers === undefined) {
    return { head, packed, part: undefined };
  }
  const [message, index, count] = numbers;
  return index < count
    ? { head, packed, part: { message, index, count } }
    : undefined;
}

/** Decodes a message from its head and all of its packed lists; undefined if they are malformed. */
export function decodeHomeMessage(
  head: MessageHead,
  packed: string,
): HomeMessage | undefined {
  const reader = new PackedReader(packed);
  const message = readMessage(head, reader);
  return reader.isComplete ? message : undefined;
}

function encode({ head, packed, part }: HomeDatagram): Buffer {
  const { method, params } = head;
  const numbers = part && [part.message, part.index, part.count];
  return encodeNotification(method, { ...params, packed, part: numbers });
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
      const { term, sequence } = message.report;
      return { method: "home-report", params: { service, term, sequence } };
    }
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
      const { service, term, sequence } = head.params;
      const report = { term, sequence, ...readReport(reader) };
      return { kind: "report", service, report };
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
): Omit<DemandReport, "term" | "sequence"> {
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
  writer.amount(observation.pace, PER_UNIT);
  writer.amount(observation.refusedShare, PER_UNIT);
  writer.amount(observation.requests);
}

function readObservation(reader: PackedReader): TargetObservation {
  return {
    target: reader.hash(),
    pace: reader.amount(PER_UNIT),
    refusedShare: reader.share(PER_UNIT),
    requests: reader.amount(),
  };
}

function writeDemand(writer: PackedWriter, demand: ObjectDemand): void {
  writeHomes(writer, demand);
  writer.amount(demand.requests);
  writer.amount(demand.workMs, PER_MS);
}

function readDemand(reader: PackedReader): ObjectDemand {
  return {
    ...readHomes(reader),
    requests: reader.amount(),
    workMs: reader.amount(PER_MS),
  };
}
