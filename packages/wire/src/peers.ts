/** Messages between controllers: frames of Avro records over TCP. */
import avsc from 'avsc';
import { PeerProtocolError } from './errors.js';

/** Tasks of a live job that are done and that run, for display. */
export interface JobCount {
  id: string;
  done: number;
  running: number;
}

/**
 * What a leader has learnt and a successor may use: run times by class, and which
 * machines hold which images, as indices into the list of images.
 */
export interface Hints {
  ratios: { jobClass: string; ratio: number }[];
  images: { image: string; gb: number }[];
  machines: { id: string; held: number[] }[];
  /** How likely it is, from 0 to 1, that fetches at the same time share a machine's rate. */
  fetchSharing: number;
}

/** What the leader sends the others: task counts for display, and hints for a successor. */
export type LeaderBroadcast = { kind: 'counts'; jobs: JobCount[] } | ({ kind: 'hints' } & Hints);

/** A heartbeat of a controller, with what it knows of the leader. */
export interface PeerHeartbeat {
  kind: 'heartbeat';
  member: string;
  /** The member that leads, as far as it knows; empty where it knows of none. */
  leader: string;
  /** Fencing token of its own term; 0 where it does not lead. */
  fencingToken: number;
  /** Whether it reaches the state service. */
  stateAvailable: boolean;
}

/** What controllers send each other; see docs/design.md, "Between controllers". */
export type PeerMessage =
  | PeerHeartbeat
  | LeaderBroadcast
  | { kind: 'ask'; id: number; method: string; path: string; body: Buffer }
  | { kind: 'answer'; id: number; status: number; body: Buffer };

const recordOf = (name: string, fields: Record<string, avsc.Schema>): avsc.Schema => ({
  type: 'record',
  name,
  fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
});
const listOf = (items: avsc.Schema): avsc.Schema => ({ type: 'array', items });
const message = (name: string, fields: Record<string, avsc.Schema>): avsc.Type =>
  avsc.Type.forSchema(recordOf(name, fields));

/** The Avro record of a heartbeat. */
interface HeartbeatRecord {
  member: string;
  leader: string;
  token: number;
  stateOk: boolean;
}

const heartbeatType = message('Beat', {
  member: 'string',
  leader: 'string',
  token: 'long',
  stateOk: 'boolean',
});
const countsType = message('Counts', {
  jobs: listOf(recordOf('JobCount', { id: 'string', done: 'int', running: 'int' })),
});
const hintsType = message('Hints', {
  ratios: listOf(recordOf('ClassRatio', { jobClass: 'string', ratio: 'double' })),
  images: listOf(recordOf('Image', { image: 'string', gb: 'double' })),
  machines: listOf(recordOf('Holder', { id: 'string', held: listOf('int') })),
  fetchSharing: 'double',
});
const askType = message('Ask', { id: 'long', method: 'string', path: 'string', body: 'bytes' });
const answerType = message('Answer', { id: 'long', status: 'int', body: 'bytes' });
const TYPES = {
  heartbeat: heartbeatType,
  ask: askType,
  answer: answerType,
  counts: countsType,
  hints: hintsType,
} as const;
/** A frame's kind is an index into this list, so its order is part of the protocol. */
const KINDS = ['heartbeat', 'ask', 'answer', 'counts', 'hints'] as const;
/** Four bytes of length, one of kind. */
const LENGTH_BYTES = 4;
const HEADER_BYTES = LENGTH_BYTES + 1;
const MAX_FRAME_BYTES = 256 * 1024;

/** A heartbeat's fields in the names of its Avro record. */
function recordFor(message: PeerMessage): unknown {
  if (message.kind !== 'heartbeat') return message;
  const { member, leader, fencingToken, stateAvailable } = message;
  return { member, leader, token: fencingToken, stateOk: stateAvailable };
}

function messageFrom(kind: PeerMessage['kind'], record: object): PeerMessage {
  if (kind !== 'heartbeat') return { kind, ...record } as PeerMessage;
  const { member, leader, token, stateOk } = record as HeartbeatRecord;
  return { kind, member, leader, fencingToken: token, stateAvailable: stateOk };
}

/** A frame: four bytes of length, one of kind, then the Avro record of the message. */
export function packPeer(message: PeerMessage): Buffer {
  const body = TYPES[message.kind].toBuffer(recordFor(message));
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.writeUInt8(KINDS.indexOf(message.kind), LENGTH_BYTES);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Cuts a stream of bytes into messages. After an error the stream can't be read on. */
export class PeerDecoder {
  /** Bytes of a frame that is not complete yet. */
  private pending: Buffer = Buffer.alloc(0);

  /** The messages that are complete with these bytes; throws `PeerProtocolError`. */
  push(chunk: Buffer): PeerMessage[] {
    this.pending = Buffer.concat([this.pending, chunk]);
    const messages: PeerMessage[] = [];
    for (;;) {
      if (this.pending.length < HEADER_BYTES) return messages;
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw new PeerProtocolError('peer frame too long');
      const frameBytes = HEADER_BYTES + length;
      if (this.pending.length < frameBytes) return messages;
      const kind = KINDS[this.pending.readUInt8(LENGTH_BYTES)];
      if (!kind) throw new PeerProtocolError('unknown peer frame');
      messages.push(decodeRecord(kind, this.pending.subarray(HEADER_BYTES, frameBytes)));
      this.pending = this.pending.subarray(frameBytes);
    }
  }
}

function decodeRecord(kind: PeerMessage['kind'], bytes: Buffer): PeerMessage {
  try {
    return messageFrom(kind, TYPES[kind].fromBuffer(bytes) as object);
  } catch (error) {
    throw new PeerProtocolError(`malformed ${kind} frame: ${String(error)}`, { cause: error });
  }
}
