/** Messages that arrive in very small pieces. */
import { EventEmitter } from 'node:events';
import { receiveBody } from '@tealdock/adapters';
import { MAX_BODY_BYTES, PeerDecoder, packPeerMessage } from '@tealdock/wire';
import type { HostileMessage } from './hostile-messages.js';

/** Twice the longest answer that is read, of a watch of the state service. */
const ANSWER_BYTES = 8 * 1024 * 1024;
/** A peer's frame just below the longest that is read. */
const FRAME_BODY_BYTES = 255 * 1024;
const SENDER_COUNT = 4;
const PIECE_COUNT = SENDER_COUNT * MAX_BODY_BYTES;
/** A process reads at most 64 KiB from a socket at a time, so at most as many pieces. */
const READ_COUNT = PIECE_COUNT / (64 * 1024);

/** New buffers, as a parser makes them, which together have the bytes of a message. */
function* piecesOf(bytes: Buffer, pieceBytes: number): Generator<Buffer> {
  for (let offset = 0; offset < bytes.length; offset += pieceBytes) {
    yield Buffer.from(bytes.subarray(offset, offset + pieceBytes));
  }
}

/** Receives a body several times at once, all of them unfinished until the last piece. */
function receiveInPieces(bytes: Buffer, senderCount: number, pieceBytes: number): void {
  let receivedCount = 0;
  const streams = Array.from({ length: senderCount }, () => new EventEmitter());
  for (const stream of streams) {
    receiveBody(stream as unknown as Parameters<typeof receiveBody>[0], {
      mayKeep: () => true,
      onComplete: (body) => (receivedCount += bytes.equals(body) ? 1 : 0),
    });
    for (const piece of piecesOf(bytes, pieceBytes)) stream.emit('data', piece);
  }
  for (const stream of streams) stream.emit('end');
  if (receivedCount !== senderCount) throw new RangeError(`${receivedCount} bodies received`);
}

function decodeInPieces(frame: Buffer): void {
  const decoder = new PeerDecoder();
  let messageCount = 0;
  for (const piece of piecesOf(frame, 1)) messageCount += decoder.push(piece).length;
  if (messageCount !== 1) throw new RangeError(`${messageCount} messages`);
}

/** By what arrives; all must be accepted. */
export const HOSTILE_PIECES: Record<string, HostileMessage> = {
  'bodies of several requests': {
    bytes: () => Buffer.alloc(MAX_BODY_BYTES, 'body'),
    decode: (bytes) => receiveInPieces(bytes, SENDER_COUNT, 1),
    refusedWith: null,
    readCount: READ_COUNT,
  },
  'a long answer': {
    bytes: () => Buffer.alloc(ANSWER_BYTES, 'answer'),
    decode: (bytes) => receiveInPieces(bytes, 1, ANSWER_BYTES / PIECE_COUNT),
    refusedWith: null,
    readCount: READ_COUNT,
  },
  "a peer's frame": {
    bytes: () =>
      packPeerMessage({ kind: 'answer', id: 1, status: 200, body: Buffer.alloc(FRAME_BODY_BYTES) }),
    decode: decodeInPieces,
    refusedWith: null,
    readCount: READ_COUNT,
  },
};
