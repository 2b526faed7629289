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
}

/** What the leader tells the others, for display and as hints. */
export type Told = { kind: 'counts'; jobs: JobCount[] } | ({ kind: 'hints' } & Hints);

/** What controllers tell each other; see docs/design.md, "Between controllers". */
export type PeerMessage =
  | { kind: 'beat'; member: string; leader: string; token: number; stateOk: boolean }
  | Told
  | { kind: 'ask'; id: number; method: string; path: string; body: Buffer }
  | { kind: 'answer'; id: number; status: number; body: Buffer };

const beat = avsc.Type.forSchema({
  type: 'record',
  name: 'Beat',
  fields: [
    { name: 'member', type: 'string' },
    { name: 'leader', type: 'string' },
    { name: 'token', type: 'long' },
    { name: 'stateOk', type: 'boolean' },
  ],
});
const counts = avsc.Type.forSchema({
  type: 'record',
  name: 'Counts',
  fields: [
    {
      name: 'jobs',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'JobCount',
          fields: [
            { name: 'id', type: 'string' },
            { name: 'done', type: 'int' },
            { name: 'running', type: 'int' },
          ],
        },
      },
    },
  ],
});
const recordOf = (name: string, fields: Record<string, avsc.Schema>): avsc.Schema => ({
  type: 'record',
  name,
  fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
});
const listOf = (items: avsc.Schema): avsc.Schema => ({ type: 'array', items });
const hints = avsc.Type.forSchema(
  recordOf('Hints', {
    ratios: listOf(recordOf('ClassRatio', { jobClass: 'string', ratio: 'double' })),
    images: listOf(recordOf('Image', { image: 'string', gb: 'double' })),
    machines: listOf(recordOf('Holder', { id: 'string', held: listOf('int') })),
  }),
);
const ask = avsc.Type.forSchema({
  type: 'record',
  name: 'Ask',
  fields: [
    { name: 'id', type: 'long' },
    { name: 'method', type: 'string' },
    { name: 'path', type: 'string' },
    { name: 'body', type: 'bytes' },
  ],
});
const answer = avsc.Type.forSchema({
  type: 'record',
  name: 'Answer',
  fields: [
    { name: 'id', type: 'long' },
    { name: 'status', type: 'int' },
    { name: 'body', type: 'bytes' },
  ],
});
const TYPES = { beat, ask, answer, counts, hints } as const;
const KINDS = ['beat', 'ask', 'answer', 'counts', 'hints'] as const;
const HEADER_BYTES = 5;
export const MAX_PEER_FRAME = 256 * 1024;

/** A frame: four bytes of length, one of kind, then the Avro record. */
export function packPeer(message: PeerMessage): Buffer {
  const body = TYPES[message.kind].toBuffer(message);
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
      const record = TYPES[kind].fromBuffer(
        this.rest.subarray(HEADER_BYTES, HEADER_BYTES + length),
      );
      messages.push({ kind, ...record } as PeerMessage);
      this.rest = this.rest.subarray(HEADER_BYTES + length);
    }
  }
}
