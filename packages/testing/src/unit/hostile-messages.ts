/**
 * Messages that would make a decoder take far more memory or time than they have bytes. Each is as
 * long as its interface allows.
 */
import { MAX_BODY_BYTES, unpackBody } from '@tealdock/wire';

/** A message, with what a process does to it. */
export interface HostileMessage {
  bytes: () => Buffer;
  /** Decodes the message, and throws an error if it is refused. */
  decode: (bytes: Buffer) => unknown;
  /** The class of the error; null if the message must be accepted. */
  refusedWith: string | null;
}

/** The longest answer of the state service that is read; an answer to a watch may come near it. */
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
