/** Messages between controllers: Avro records in length-prefixed frames over TCP. */
import avsc from 'avsc';
import { ByteAccumulator } from './byte-accumulator.js';
import { checkAvro, type AvroArray, type AvroRecord, type AvroSchema } from './avro-walk.js';
import { PeerProtocolError } from './errors.js';

/** Numbers of a live job's tasks that are done and that are running, for display. */
export interface JobCount {
  id: string;
  done: number;
  running: number;
}

/** Observations of a leader that the state service does not store, for the next leader. */
export interface Hints {
  /** Actual run time divided by the users' estimate, by class of jobs. */
  ratios: { jobClass: string; ratio: number }[];
  images: { image: string; gb: number }[];
  /** The images that each machine holds, as indices into `images`. */
  machines: { id: string; held: number[] }[];
  /** Probability, from 0 to 1, that concurrent image fetches share a machine's fetch rate. */
  fetchSharing: number;
}

/** The leader's messages to all peers: task counts for display, or hints for the next leader. */
export type LeaderBroadcast = { kind: 'counts'; jobs: JobCount[] } | ({ kind: 'hints' } & Hints);

/** A controller's heartbeat to its peers. */
export interface PeerHeartbeat {
  kind: 'heartbeat';
  member: string;
  /** The leading member, as far as the sender knows; empty if it knows of none. */
  leader: string;
  /** Fencing token of the sender's own term; 0 if it does not lead. */
  fencingToken: number;
  /** Whether the sender reaches the state service. */
  stateAvailable: boolean;
}

/** The messages between controllers; see docs/design.md, "Between controllers". */
export type PeerMessage =
  | PeerHeartbeat
  | LeaderBroadcast
  | { kind: 'ask'; id: number; method: string; path: string; body: Buffer }
  | { kind: 'answer'; id: number; status: number; body: Buffer };

/** A schema with the codec that is made from it. */
interface MessageType {
  schema: AvroRecord;
  codec: avsc.Type;
}

const recordOf = (name: string, fields: Record<string, AvroSchema>): AvroRecord => ({
  type: 'record',
  name,
  fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
});
const listOf = (items: AvroSchema): AvroArray => ({ type: 'array', items });

function messageType(name: string, fields: Record<string, AvroSchema>): MessageType {
  const schema = recordOf(name, fields);
  return { schema, codec: avsc.Type.forSchema(schema) };
}

/** The fields of a heartbeat's Avro record. */
interface HeartbeatRecord {
  member: string;
  leader: string;
  token: number;
  stateOk: boolean;
}

const heartbeatType = messageType('Beat', {
  member: 'string',
  leader: 'string',
  token: 'long',
  stateOk: 'boolean',
});
const countsType = messageType('Counts', {
  jobs: listOf(recordOf('JobCount', { id: 'string', done: 'int', running: 'int' })),
});
const hintsType = messageType('Hints', {
  ratios: listOf(recordOf('ClassRatio', { jobClass: 'string', ratio: 'double' })),
  images: listOf(recordOf('Image', { image: 'string', gb: 'double' })),
  machines: listOf(recordOf('Holder', { id: 'string', held: listOf('int') })),
  fetchSharing: 'double',
});
const askType = messageType('Ask', { id: 'long', method: 'string', path: 'string', body: 'bytes' });
const answerType = messageType('Answer', { id: 'long', status: 'int', body: 'bytes' });
const TYPES = {
  heartbeat: heartbeatType,
  ask: askType,
  answer: answerType,
  counts: countsType,
  hints: hintsType,
} as const;
/** The kind in a frame's header is an index into this list, so its order must not change. */
const KINDS = ['heartbeat', 'ask', 'answer', 'counts', 'hints'] as const;
/** A frame's header: four bytes for the length of the body, one for the kind. */
const LENGTH_BYTES = 4;
const HEADER_BYTES = LENGTH_BYTES + 1;
const MAX_FRAME_BYTES = 256 * 1024;

/** Renames the fields of a heartbeat to those of its Avro record; other messages are unchanged. */
function toRecord(message: PeerMessage): unknown {
  if (message.kind !== 'heartbeat') return message;
  const { member, leader, fencingToken, stateAvailable } = message;
  return { member, leader, token: fencingToken, stateOk: stateAvailable };
}

/** The reverse of `toRecord`. */
function fromRecord(kind: PeerMessage['kind'], record: object): PeerMessage {
  if (kind !== 'heartbeat') return { kind, ...record } as PeerMessage;
  const { member, leader, token, stateOk } = record as HeartbeatRecord;
  return { kind, member, leader, fencingToken: token, stateAvailable: stateOk };
}

/** Encodes a message as a frame: header, then the Avro record. */
export function packPeerMessage(message: PeerMessage): Buffer {
  const body = TYPES[message.kind].codec.toBuffer(toRecord(message));
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.writeUInt8(KINDS.indexOf(message.kind), LENGTH_BYTES);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/**
 * Encodes a leader's message, which grows with the cluster, so that it fits into a frame: what does
 * not fit is left out, since peers close a connection on which a longer frame arrives.
 */
export function packBroadcast(message: LeaderBroadcast): Buffer {
  const frame = packPeerMessage(message);
  const length = frame.length - HEADER_BYTES;
  if (length <= MAX_FRAME_BYTES) return frame;
  return packBroadcast(shortened(message, MAX_FRAME_BYTES / length));
}

/** The message with this fraction of its list, or without machines and images if none is left. */
function shortened(message: LeaderBroadcast, fraction: number): LeaderBroadcast {
  const firstOf = <T>(list: T[]): T[] => list.slice(0, Math.floor(list.length * fraction));
  if (message.kind === 'counts') return { ...message, jobs: firstOf(message.jobs) };
  const machines = firstOf(message.machines);
  if (machines.length > 0) return { ...message, machines };
  return { ...message, machines, images: [], ratios: firstOf(message.ratios) };
}

/** Decodes a stream of bytes into messages. After an error, the stream must not be read on. */
export class PeerDecoder {
  /** Received bytes that do not form a complete frame yet. */
  private readonly pending = new ByteAccumulator();

  /** Adds received bytes and returns the messages they complete; throws `PeerProtocolError`. */
  push(chunk: Buffer): PeerMessage[] {
    this.pending.append(chunk);
    const received = this.pending.bytes();
    const messages: PeerMessage[] = [];
    let offset = 0;
    for (;;) {
      const frame = frameAt(received, offset);
      if (frame === null) break;
      messages.push(decodeRecord(frame.kind, frame.record));
      offset = frame.end;
    }
    this.pending.dropFirst(offset);
    return messages;
  }
}

/** A frame among received bytes. */
interface Frame {
  kind: PeerMessage['kind'];
  record: Buffer;
  /** The offset behind its last byte. */
  end: number;
}

/** The frame that begins at this offset; null if it is not complete. */
function frameAt(received: Buffer, offset: number): Frame | null {
  const recordOffset = offset + HEADER_BYTES;
  if (received.length < recordOffset) return null;
  const length = received.readUInt32BE(offset);
  if (length > MAX_FRAME_BYTES) throw new PeerProtocolError('peer frame too long');
  const end = recordOffset + length;
  if (received.length < end) return null;
  const kind = KINDS[received.readUInt8(offset + LENGTH_BYTES)];
  if (!kind) throw new PeerProtocolError('unknown peer frame');
  return { kind, record: received.subarray(recordOffset, end), end };
}

function decodeRecord(kind: PeerMessage['kind'], bytes: Buffer): PeerMessage {
  const { schema, codec } = TYPES[kind];
  try {
    checkAvro(schema, bytes);
    return fromRecord(kind, codec.fromBuffer(bytes) as object);
  } catch (error) {
    throw new PeerProtocolError(`malformed ${kind} frame: ${String(error)}`, { cause: error });
  }
}
