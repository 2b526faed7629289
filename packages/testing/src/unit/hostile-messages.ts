/**
 * Messages that would make a decoder take far more memory or time than they have bytes. Each is as
 * long as its interface allows.
 */
import { EventEmitter } from 'node:events';
import { receiveBody } from '@tealdock/adapters';
import {
  MAX_BODY_BYTES,
  PeerDecoder,
  packBody,
  packPeerMessage,
  parseCancellations,
  parseChanges,
  parseHeartbeat,
  parseMachinePage,
  parseSubmission,
  unpackBody,
} from '@tealdock/wire';

/** A message, with what a process does to it. */
export interface HostileMessage {
  bytes: () => Buffer;
  /** Decodes the message, and throws an error if it is refused. */
  decode: (bytes: Buffer) => unknown;
  /** The class of the error; null if the message must be accepted. */
  refusedWith: string | null;
  /** Reads from its socket in which it arrives at least, if not one; others are served between. */
  readCount?: number;
}

type Bytes = readonly number[];

const MALFORMED = 'WireError';
const TOO_LARGE = 'TooLargeError';
const NO_FRAME = 'PeerProtocolError';

/** Twice the longest answer that is read, of a watch of the state service. */
const ANSWER_BYTES = 8 * 1024 * 1024;
/** The longest frame that is read from another controller. */
const FRAME_BYTES = 256 * 1024;

const NIL = 0xc0;
const EMPTY_MAP = [0x80];
const EMPTY_LIST = [0x90];
const MAP_IN_MAP = [0x81, 0xa0];
const LIST_IN_LIST = [0x91];
/** Announces a list of 56,540 elements every three bytes. */
const LIST_16_HEADERS = [0xdc];
/** Announces a list of 32 million elements every five bytes. */
const LIST_32_HEADER = [0xdd, 0x01, 0xff, 0xff, 0xff];
const TEXT_32_HEADER = [0xdb, 0xff, 0xff, 0xff, 0xff];
const MAP_WITH_NUMBER_KEY = [0x81, 0xcd, 0x03, 0xe8, NIL];
/** An engine that stores this entry by index takes room for more than 1,000 places. */
const MAP_WITH_INDEX_KEY = [0x81, 0xa3, ...Buffer.from('999'), NIL];
const MAP_WITH_OWN_KEY = [0x81, 0xa5, ...Buffer.from('k____'), NIL];

const repeated = (unit: Bytes, byteCount: number): Buffer =>
  Buffer.alloc(byteCount - (byteCount % unit.length), Buffer.from(unit));

/** Nested to the end of the message, with a value in the innermost place. */
const nested = (unit: Bytes, byteCount: number): Buffer =>
  Buffer.concat([repeated(unit, byteCount - 1), Buffer.of(NIL)]);

/** A list of equal elements that takes at most `byteCount` bytes. */
function listOfEqual(unit: Bytes, byteCount: number): Buffer {
  const header = Buffer.from([0xdd, 0, 0, 0, 0]);
  const elements = repeated(unit, byteCount - header.length);
  header.writeUInt32BE(elements.length / unit.length, 1);
  return Buffer.concat([header, elements]);
}

/** A list of maps with one entry each, no two with the same key. */
function mapsOfOwnKeys(byteCount: number): Buffer {
  const list = listOfEqual(MAP_WITH_OWN_KEY, byteCount);
  for (let i = 0, offset = 8; offset + 4 < list.length; i++, offset += MAP_WITH_OWN_KEY.length) {
    list.write(i.toString(36), offset);
  }
  return list;
}

/** A MessagePack body of a request or an answer. */
const body = (refusedWith: string | null, bytes: () => Buffer): HostileMessage => ({
  bytes,
  decode: unpackBody,
  refusedWith,
});

/** By what the body has. */
const HOSTILE_BODIES: Record<string, HostileMessage> = {
  'short lists announced in each other': body(MALFORMED, () =>
    repeated(LIST_16_HEADERS, MAX_BODY_BYTES),
  ),
  'short lists announced in each other, in an answer': body(MALFORMED, () =>
    repeated(LIST_16_HEADERS, ANSWER_BYTES),
  ),
  'long lists announced in each other': body(MALFORMED, () =>
    repeated(LIST_32_HEADER, MAX_BODY_BYTES),
  ),
  'a list announced, and no element': body(MALFORMED, () => Buffer.from(LIST_32_HEADER)),
  'a text announced, and no byte': body(MALFORMED, () => Buffer.from(TEXT_32_HEADER)),
  'nested lists': body(MALFORMED, () => nested(LIST_IN_LIST, MAX_BODY_BYTES)),
  'nested lists, in an answer': body(MALFORMED, () => nested(LIST_IN_LIST, ANSWER_BYTES)),
  'nested maps': body(MALFORMED, () => nested(MAP_IN_MAP, MAX_BODY_BYTES)),
  'keys that are numbers': body(MALFORMED, () => listOfEqual(MAP_WITH_NUMBER_KEY, MAX_BODY_BYTES)),
  'keys like indices': body(TOO_LARGE, () => listOfEqual(MAP_WITH_INDEX_KEY, MAX_BODY_BYTES)),
  'keys like indices, as many as accepted': body(null, () =>
    listOfEqual(MAP_WITH_INDEX_KEY, 350 * MAP_WITH_INDEX_KEY.length),
  ),
  'empty maps': body(null, () => listOfEqual(EMPTY_MAP, MAX_BODY_BYTES)),
  'empty maps, as many as accepted': body(null, () => listOfEqual(EMPTY_MAP, 85_000)),
  'empty maps, in an answer': body(TOO_LARGE, () => listOfEqual(EMPTY_MAP, ANSWER_BYTES)),
  'empty lists': body(null, () => listOfEqual(EMPTY_LIST, MAX_BODY_BYTES)),
  'empty lists, in an answer': body(TOO_LARGE, () => listOfEqual(EMPTY_LIST, ANSWER_BYTES)),
  'maps with own keys': body(null, () => mapsOfOwnKeys(MAX_BODY_BYTES)),
  'maps with own keys, as many as accepted': body(null, () => mapsOfOwnKeys(159_000)),
  'maps with own keys, in an answer': body(TOO_LARGE, () => mapsOfOwnKeys(ANSWER_BYTES)),
};

const COUNTS = 3;
const HINTS = 4;
/** Avro integers. */
const ZERO = 0;
const ONE = 2;
const TWO_BILLION = [0xfe, 0xff, 0xff, 0xff, 0x0f];
const JOB = [ZERO, ZERO, ZERO];
const MACHINE = [ZERO, ZERO];
const FETCH_SHARING = Array<number>(8).fill(0);

/** An Avro list of equal items, with its count in four bytes. */
function avroList(item: Bytes, byteCount: number): Buffer {
  const items = repeated(item, byteCount);
  const zigzag = (2 * items.length) / item.length;
  const count = [0, 7, 14].map((shift) => ((zigzag >> shift) & 0x7f) | 0x80);
  return Buffer.concat([Buffer.of(...count, zigzag >> 21), items, Buffer.of(ZERO)]);
}

const frame = (
  refusedWith: string | null,
  kind: number,
  record: () => (Buffer | Bytes)[],
): HostileMessage => ({
  bytes: () => {
    const bytes = Buffer.concat(record().map((part) => Buffer.from(part)));
    const header = Buffer.from([0, 0, 0, 0, kind]);
    header.writeUInt32BE(bytes.length);
    return Buffer.concat([header, bytes]);
  },
  decode: (bytes) => new PeerDecoder().push(bytes),
  refusedWith,
});
const LIST_SPACE = FRAME_BYTES - 32;

/** Frames from other controllers, by what they have. */
const HOSTILE_FRAMES: Record<string, HostileMessage> = {
  'a list announced, and no item': frame(NO_FRAME, COUNTS, () => [TWO_BILLION, [ZERO]]),
  'a list announced in a list': frame(NO_FRAME, HINTS, () => [
    [ZERO, ZERO, ONE, ZERO],
    TWO_BILLION,
  ]),
  'a text announced, and no byte': frame(NO_FRAME, COUNTS, () => [[ONE], TWO_BILLION]),
  'blocks without an end': frame(NO_FRAME, COUNTS, () => [repeated([ONE, ...JOB], FRAME_BYTES)]),
  'an integer without an end': frame(NO_FRAME, COUNTS, () => [repeated([0xff], FRAME_BYTES)]),
  'the shortest jobs': frame(NO_FRAME, COUNTS, () => [avroList(JOB, LIST_SPACE)]),
  'the shortest jobs, as many as accepted': frame(null, COUNTS, () => [avroList(JOB, 120_000)]),
  'the shortest machines': frame(NO_FRAME, HINTS, () => [
    ...[[ZERO, ZERO], avroList(MACHINE, LIST_SPACE), FETCH_SHARING],
  ]),
  'indices of images': frame(null, HINTS, () => [
    ...[[ZERO, ZERO, ONE, ZERO], avroList([ONE], LIST_SPACE), [ZERO], FETCH_SHARING],
  ]),
};

const HEARTBEAT = {
  ...{ host: 'm-1', addr: '127.0.0.1:1', flavour: 'g', hall: 'a', spare: true },
  ...{ shift: 1, tally: 1, fence: 1 },
};

/** A body whose last field is a list of elements that are all invalid. */
const invalidList = (
  parse: (body: unknown) => unknown,
  fields: Record<string, unknown>,
  name: string,
  element: Bytes,
): HostileMessage => ({
  bytes: () => {
    const fieldsAndNil = packBody({ ...fields, [name]: null });
    const list = listOfEqual(element, MAX_BODY_BYTES - fieldsAndNil.length);
    return Buffer.concat([fieldsAndNil.subarray(0, -1), list]);
  },
  decode: (bytes) => parse(unpackBody(bytes)),
  refusedWith: MALFORMED,
});

/** Bodies that can be decoded, by their lists. */
const INVALID_LISTS: Record<string, HostileMessage> = {
  'tasks without fields': invalidList(parseHeartbeat, HEARTBEAT, 'batch', EMPTY_MAP),
  'tasks that are no maps': invalidList(parseHeartbeat, HEARTBEAT, 'batch', [NIL]),
  'predecessors that are no texts': invalidList(parseSubmission, {}, 'waits_on', [NIL]),
  'machine types that are no texts': invalidList(parseSubmission, {}, 'flavours', [NIL]),
  'cancelled jobs that are no ids': invalidList(parseCancellations, {}, 'jobs', [NIL]),
  'changes without fields': invalidList(parseChanges, { epoch: 1 }, 'news', EMPTY_MAP),
  'machines without fields': invalidList(parseMachinePage, {}, 'hosts', EMPTY_MAP),
};

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

/** Messages that must be accepted although they come in small pieces. */
const inPieces = (bytes: () => Buffer, decode: (bytes: Buffer) => void): HostileMessage => ({
  bytes,
  decode,
  refusedWith: null,
  readCount: READ_COUNT,
});

/** By what arrives. */
const HOSTILE_PIECES: Record<string, HostileMessage> = {
  'bodies of several requests': inPieces(
    () => Buffer.alloc(MAX_BODY_BYTES, 'body'),
    (bytes) => receiveInPieces(bytes, SENDER_COUNT, 1),
  ),
  'a long answer': inPieces(
    () => Buffer.alloc(ANSWER_BYTES, 'answer'),
    (bytes) => receiveInPieces(bytes, 1, ANSWER_BYTES / PIECE_COUNT),
  ),
  "a peer's frame": inPieces(
    () =>
      packPeerMessage({ kind: 'answer', id: 1, status: 200, body: Buffer.alloc(FRAME_BODY_BYTES) }),
    decodeInPieces,
  ),
};

/** All messages, by the failure that they guard against. */
export const HOSTILE_MESSAGES: Record<string, Record<string, HostileMessage>> = {
  // A controller that got 4 KiB of a text in another encoding ended: out of memory.
  'a body of': HOSTILE_BODIES,
  // A frame of six bytes that announced two billion jobs ended the controller that read it.
  "a peer's frame of": HOSTILE_FRAMES,
  // A heartbeat with 65,000 empty tasks ended the process, which described what each one lacks.
  'a list of': INVALID_LISTS,
  // Eight requests whose bodies came in chunks of one byte ended a process that kept each chunk.
  'small pieces of': HOSTILE_PIECES,
};
