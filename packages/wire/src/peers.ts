/** Messages between controllers. */
import avsc from 'avsc';

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

/** What the leader tells the others, for display and as hints. */
export type LeaderBroadcast = { kind: 'counts'; jobs: JobCount[] } | ({ kind: 'hints' } & Hints);

/** A sign of life of a controller, with what it knows of the leader. */
export interface PeerHeartbeat {
  kind: 'heartbeat';
  member: string;
  /** Member that it takes for the leader; empty where it knows of none. */
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

const beat = message('Beat', {
  member: 'string',
  leader: 'string',
  token: 'long',
  stateOk: 'boolean',
});
const counts = message('Counts', {
  jobs: listOf(recordOf('JobCount', { id: 'string', done: 'int', running: 'int' })),
});
const hints = message('Hints', {
  ratios: listOf(recordOf('ClassRatio', { jobClass: 'string', ratio: 'double' })),
  images: listOf(recordOf('Image', { image: 'string', gb: 'double' })),
  machines: listOf(recordOf('Holder', { id: 'string', held: listOf('int') })),
  fetchSharing: 'double',
});
const ask = message('Ask', { id: 'long', method: 'string', path: 'string', body: 'bytes' });
const answer = message('Answer', { id: 'long', status: 'int', body: 'bytes' });
const TYPES = { heartbeat: beat, ask, answer, counts, hints } as const;
const KINDS = ['heartbeat', 'ask', 'answer', 'counts', 'hints'] as const;
const HEADER_BYTES = 5;
export const MAX_PEER_FRAME = 256 * 1024;

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

/** A frame: four bytes of length, one of kind, then the Avro record. */
export function packPeer(message: PeerMessage): Buffer {
  const body = TYPES[message.kind].toBuffer(recordFor(message));
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.writeUInt8(KINDS.indexOf(message.kind), 4);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Cuts a stream of bytes into messages; throws on anything malformed. */
export class PeerDecoder {
  private rest: Buffer = Buffer.alloc(0);

  push(chunk: Buffer): PeerMessage[] {
    this.rest = Buffer.concat([this.rest, chunk]);
    const messages: PeerMessage[] = [];
    for (;;) {
      if (this.rest.length < HEADER_BYTES) return messages;
      const length = this.rest.readUInt32BE(0);
      if (length > MAX_PEER_FRAME) throw new Error('peer frame too long');
      if (this.rest.length < HEADER_BYTES + length) return messages;
      const kind = KINDS[this.rest.readUInt8(4)];
      if (!kind) throw new Error('unknown peer frame');
      const bytes = this.rest.subarray(HEADER_BYTES, HEADER_BYTES + length);
      const record = TYPES[kind].fromBuffer(bytes) as object;
      messages.push(messageFrom(kind, record));
      this.rest = this.rest.subarray(HEADER_BYTES + length);
    }
  }
}
