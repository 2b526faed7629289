/**
 * Messages that would make a decoder take far more memory or time than they have bytes. Each is as
 * long as its interface allows.
 */
import {
  MAX_BODY_BYTES,
  PeerDecoder,
  packBody,
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

/** Twice the longest answer that is read, of a watch of the state service. */
const ANSWER_BYTES = 8 * 1024 * 1024;

/** Announces a list of 56,540 elements every three bytes. */
const LIST_16_HEADERS = [0xdc];
/** Announces a list of 32 million elements every five bytes. */
const LIST_32_HEADERS = [0xdd, 0x01, 0xff, 0xff, 0xff];
const EMPTY_MAP = [0x80];
const EMPTY_LIST = [0x90];
const MAP_IN_MAP = [0x81, 0xa0];
const LIST_IN_LIST = [0x91];
/** An engine that stores this entry by index takes room for more than 1,000 places. */
const MAP_WITH_INDEX_KEY = [0x81, 0xa3, ...Buffer.from('999'), 0xc0];
const MAP_WITH_NUMBER_KEY = [0x81, 0xcd, 0x03, 0xe8, 0xc0];
const NIL = 0xc0;

function repeated(unit: readonly number[], byteCount: number): Buffer {
  return Buffer.alloc(byteCount - (byteCount % unit.length), Buffer.from(unit));
}

/** A list of equal elements that takes at most `byteCount` bytes. */
function listOfEqual(unit: readonly number[], byteCount: number): Buffer {
  const header = Buffer.from([0xdd, 0, 0, 0, 0]);
  const elements = repeated(unit, byteCount - header.length);
  header.writeUInt32BE(elements.length / unit.length, 1);
  return Buffer.concat([header, elements]);
}

/** A list of maps with one entry each, no two with the same key. */
function mapsOfDistinctKeys(byteCount: number): Buffer {
  const list = listOfEqual([0x81, 0xa5, ...Buffer.from('k____'), NIL], byteCount);
  for (let i = 0, offset = 8; offset + 4 < list.length; i++, offset += 8) {
    list.write(i.toString(36), offset);
  }
  return list;
}

/** Nested to the end of the message, with a value in the innermost place. */
const nested = (unit: readonly number[], byteCount: number): Buffer =>
  Buffer.concat([repeated(unit, byteCount - 1), Buffer.from([NIL])]);

const bodyOf = (bytes: () => Buffer, refusedWith: string | null): HostileMessage => ({
  bytes,
  decode: unpackBody,
  refusedWith,
});

const NO_MESSAGE_PACK = 'WireError';
const TOO_LARGE = 'TooLargeError';

/** MessagePack bodies of requests and of answers. */
export const HOSTILE_BODIES: Record<string, HostileMessage> = {
  '16-bit lists announced inside one another': bodyOf(
    () => repeated(LIST_16_HEADERS, MAX_BODY_BYTES),
    NO_MESSAGE_PACK,
  ),
  '16-bit lists announced inside one another, in an answer': bodyOf(
    () => repeated(LIST_16_HEADERS, ANSWER_BYTES),
    NO_MESSAGE_PACK,
  ),
  '32-bit lists announced inside one another': bodyOf(
    () => repeated(LIST_32_HEADERS, MAX_BODY_BYTES),
    NO_MESSAGE_PACK,
  ),
  'one list announced, and no element': bodyOf(() => Buffer.from(LIST_32_HEADERS), NO_MESSAGE_PACK),
  'one text announced, and no byte': bodyOf(
    () => Buffer.from([0xdb, 0xff, 0xff, 0xff, 0xff]),
    NO_MESSAGE_PACK,
  ),
  'lists that are nested': bodyOf(() => nested(LIST_IN_LIST, MAX_BODY_BYTES), NO_MESSAGE_PACK),
  'lists that are nested, in an answer': bodyOf(
    () => nested(LIST_IN_LIST, ANSWER_BYTES),
    NO_MESSAGE_PACK,
  ),
  'maps that are nested': bodyOf(() => nested(MAP_IN_MAP, MAX_BODY_BYTES), NO_MESSAGE_PACK),
  'maps whose keys are numbers': bodyOf(
    () => listOfEqual(MAP_WITH_NUMBER_KEY, MAX_BODY_BYTES),
    NO_MESSAGE_PACK,
  ),
  'maps whose keys look like indices': bodyOf(
    () => listOfEqual(MAP_WITH_INDEX_KEY, MAX_BODY_BYTES),
    TOO_LARGE,
  ),
  'as many maps with an index for a key as are accepted': bodyOf(
    () => listOfEqual(MAP_WITH_INDEX_KEY, 350 * MAP_WITH_INDEX_KEY.length),
    null,
  ),
  'empty maps': bodyOf(() => listOfEqual(EMPTY_MAP, MAX_BODY_BYTES), null),
  'empty lists': bodyOf(() => listOfEqual(EMPTY_LIST, MAX_BODY_BYTES), null),
  'maps of distinct keys': bodyOf(() => mapsOfDistinctKeys(MAX_BODY_BYTES), null),
  'as many empty maps as are accepted': bodyOf(() => listOfEqual(EMPTY_MAP, 85_000), null),
  'as many maps of distinct keys as are accepted': bodyOf(() => mapsOfDistinctKeys(159_000), null),
  'empty maps, in an answer': bodyOf(() => listOfEqual(EMPTY_MAP, ANSWER_BYTES), TOO_LARGE),
  'empty lists, in an answer': bodyOf(() => listOfEqual(EMPTY_LIST, ANSWER_BYTES), TOO_LARGE),
  'maps of distinct keys, in an answer': bodyOf(() => mapsOfDistinctKeys(ANSWER_BYTES), TOO_LARGE),
};

/** The longest frame that is read from another controller. */
const FRAME_BYTES = 256 * 1024;
const COUNTS = 3;
const HINTS = 4;
/** The Avro integers 0 and 2^31 - 1. */
const ZERO = 0;
const TWO_BILLION = [0xfe, 0xff, 0xff, 0xff, 0x0f];

/** The Avro form of an integer that is not negative. */
function avroInteger(value: number): number[] {
  const bytes: number[] = [];
  let rest = 2 * value;
  for (; rest > 0x7f; rest = Math.floor(rest / 128)) bytes.push((rest % 128) + 128);
  return [...bytes, rest];
}

function frameOf(kind: number, record: Buffer): Buffer {
  const header = Buffer.from([0, 0, 0, 0, kind]);
  header.writeUInt32BE(record.length);
  return Buffer.concat([header, record]);
}

/** An Avro list of equal items that fills a frame, with bytes before and after it. */
function fullFrame(kind: number, before: number[], item: number[], after: number[]): Buffer {
  const spaceForCount = 6;
  const space = FRAME_BYTES - before.length - after.length - spaceForCount;
  const items = repeated(item, space);
  const count = avroInteger(items.length / item.length);
  const list = [Buffer.from([...before, ...count]), items, Buffer.from([ZERO, ...after])];
  return frameOf(kind, Buffer.concat(list));
}

const peerFrame = (bytes: () => Buffer, refusedWith: string | null): HostileMessage => ({
  bytes,
  decode: (frame) => new PeerDecoder().push(frame),
  refusedWith,
});

const NO_FRAME = 'PeerProtocolError';
const FETCH_SHARING = Array<number>(8).fill(0);

/** Frames from other controllers. */
export const HOSTILE_FRAMES: Record<string, HostileMessage> = {
  'a list of jobs that is announced, and no job': peerFrame(
    () => frameOf(COUNTS, Buffer.from([...TWO_BILLION, ZERO])),
    NO_FRAME,
  ),
  'a list inside a list that is announced, and no item': peerFrame(
    () => frameOf(HINTS, Buffer.from([ZERO, ZERO, 2, ZERO, ...TWO_BILLION])),
    NO_FRAME,
  ),
  'a text that is announced, and no character': peerFrame(
    () => frameOf(COUNTS, Buffer.from([2, ...TWO_BILLION])),
    NO_FRAME,
  ),
  'a list in blocks without an end': peerFrame(
    () => frameOf(COUNTS, repeated([2, ZERO, ZERO, ZERO], FRAME_BYTES)),
    NO_FRAME,
  ),
  'an integer without an end': peerFrame(
    () => frameOf(COUNTS, repeated([0xff], FRAME_BYTES)),
    NO_FRAME,
  ),
  'the shortest descriptions of jobs': peerFrame(
    () => fullFrame(COUNTS, [], [ZERO, ZERO, ZERO], []),
    NO_FRAME,
  ),
  'the shortest descriptions of machines': peerFrame(
    () => fullFrame(HINTS, [ZERO, ZERO], [ZERO, ZERO], FETCH_SHARING),
    NO_FRAME,
  ),
  'as many short descriptions of jobs as are accepted': peerFrame(
    () =>
      frameOf(
        COUNTS,
        Buffer.concat([
          Buffer.from(avroInteger(40_000)),
          repeated([ZERO, ZERO, ZERO], 120_000),
          Buffer.from([ZERO]),
        ]),
      ),
    null,
  ),
  'indices of images': peerFrame(
    () => fullFrame(HINTS, [ZERO, ZERO, 2, ZERO], [ZERO], [ZERO, ...FETCH_SHARING]),
    null,
  ),
};

/** A body with all valid fields of a map, and after them one with a list of equal elements. */
function bodyWithList(
  fields: Record<string, unknown>,
  name: string,
  element: readonly number[],
): Buffer {
  const fieldsAndNil = packBody({ ...fields, [name]: null });
  const list = listOfEqual(element, MAX_BODY_BYTES - fieldsAndNil.length);
  return Buffer.concat([fieldsAndNil.subarray(0, -1), list]);
}

const HEARTBEAT = {
  ...{ host: 'm-1', addr: '127.0.0.1:1', flavour: 'g', hall: 'a', spare: true },
  ...{ shift: 1, tally: 1, fence: 1 },
};

const invalidList = (
  parse: (body: unknown) => unknown,
  fields: Record<string, unknown>,
  name: string,
  element: readonly number[],
): HostileMessage => ({
  bytes: () => bodyWithList(fields, name, element),
  decode: (bytes) => parse(unpackBody(bytes)),
  refusedWith: NO_MESSAGE_PACK,
});

/** Bodies that can be decoded, but whose lists have elements that are all invalid. */
export const INVALID_LISTS: Record<string, HostileMessage> = {
  'tasks without fields': invalidList(parseHeartbeat, HEARTBEAT, 'batch', EMPTY_MAP),
  'tasks that are no maps': invalidList(parseHeartbeat, HEARTBEAT, 'batch', [NIL]),
  'predecessors that are no texts': invalidList(parseSubmission, {}, 'waits_on', [NIL]),
  'machine types that are no texts': invalidList(parseSubmission, {}, 'flavours', [NIL]),
  'cancelled jobs that are no ids': invalidList(parseCancellations, {}, 'jobs', [NIL]),
  'changes without fields': invalidList(parseChanges, { epoch: 1 }, 'news', EMPTY_MAP),
  'machines without fields': invalidList(parseMachinePage, {}, 'hosts', EMPTY_MAP),
};

/** All of them by name. */
export const HOSTILE_MESSAGES: Record<string, HostileMessage> = {
  ...HOSTILE_BODIES,
  ...HOSTILE_FRAMES,
  ...INVALID_LISTS,
};
