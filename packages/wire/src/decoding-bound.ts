/**
 * The bound on what decoding a message from another process may reserve, for every format.
 *
 * A decoder reserves memory for what a message announces, before it has read any of it: the
 * elements of a list, the entries of a map, the bytes of a text. Limiting the size of the message
 * is therefore not enough: lists nest every few bytes, and each may announce 2^32 elements. So a
 * message is first walked through without reserving anything, and decoded only if
 *
 * - all announced elements can still follow. Each takes at least one byte, so the lists and maps
 *   that are open at the same time never hold more elements than the message has bytes;
 * - the decoded values take at most `MAX_DECODED_BYTES`, counted from above while walking;
 * - lists and maps nest at most `MAX_DEPTH` deep, so that later code may recurse into them.
 *
 * Walking takes time linear in the size of the message, since each step consumes at least a byte.
 */
import { TooLargeError, WireError } from './errors.js';

/**
 * Most memory that a decoded message may take. A controller's heap of 100 MB (deploy/service.toml)
 * has to hold its state and several messages, and decoding this much has to leave time for health
 * probes. The largest messages of sound senders, pages of 512 KiB, take two thirds of it.
 */
const MAX_DECODED_BYTES = 6 * 1024 * 1024;
/** Most lists and maps inside one another; the interfaces need fewer than ten. */
const MAX_DEPTH = 32;

/** Memory of a value's place in a list, map or record. */
const SLOT_BYTES = 8;
/** Memory of a number that is no small integer, or of a text without its characters. */
const BOX_BYTES = 24;
/** Memory of a text for each byte of its UTF-8 form. */
const TEXT_BYTES_PER_BYTE = 2;
/** Memory of an empty list, map or record. */
const CONTAINER_BYTES = 56;
/** Memory that a map takes in addition with its first entry, for a hash table or a shape. */
const MAP_TABLE_BYTES = 136;
/** Memory of a map's entry beside its key and value: a hash table keeps free places. */
const MAP_ENTRY_BYTES = 64;
/**
 * Memory of an entry whose key looks like the index of a list: the engine stores such entries in an
 * array that begins at 0 and leaves gaps of up to 1,024 places, and adds half again to it.
 */
const INDEX_KEY_BYTES = 16 * 1024;

const BITS_PER_BYTE = 8;
const [DIGIT_0, DIGIT_9] = [...Buffer.from('09')] as [number, number];

/** Reads along a message and holds it to the bound; its methods throw `WireError`. */
export class DecodingBound {
  private offset = 0;
  private depth = 0;
  /** Elements that open lists and maps have announced and that have not been read yet. */
  private awaitedCount = 1;
  private reservedBytes = 0;

  constructor(private readonly bytes: Uint8Array) {}

  /** Reads one byte. */
  readByte(): number {
    const byte = this.bytes[this.offset];
    if (byte === undefined) throw new WireError('the message is truncated');
    this.offset++;
    return byte;
  }

  /** Reads an unsigned big-endian integer of up to four bytes. */
  readUnsigned(byteCount: number): number {
    let value = 0;
    for (let i = 0; i < byteCount; i++) value = value * 2 ** BITS_PER_BYTE + this.readByte();
    return value;
  }

  /** Begins the next value: an element of the innermost list, a key or value of a map. */
  beginValue(): void {
    this.awaitedCount--;
    this.reserve(SLOT_BYTES);
  }

  /** Skips the bytes of a number. */
  skipNumber(byteCount: number): void {
    this.skip(byteCount);
    this.reserve(BOX_BYTES);
  }

  /** Skips a text or binary value of this many bytes. */
  skipText(byteCount: number): void {
    this.skip(byteCount);
    this.reserve(BOX_BYTES + byteCount * TEXT_BYTES_PER_BYTE);
  }

  /** Skips the text of a map's key. */
  skipKeyText(byteCount: number): void {
    const first = this.bytes[this.offset] ?? 0;
    this.reserve(first >= DIGIT_0 && first <= DIGIT_9 ? INDEX_KEY_BYTES : MAP_ENTRY_BYTES);
    this.skipText(byteCount);
  }

  /** Enters a map; its keys and values follow. */
  enterMap(entryCount: number): void {
    this.enter(2 * entryCount);
    if (entryCount > 0) this.reserve(MAP_TABLE_BYTES);
  }

  /** Enters a list or record of this many elements. */
  enter(elementCount: number): void {
    this.awaitedCount += elementCount;
    if (this.awaitedCount > this.remainingBytes) {
      const { remainingBytes, awaitedCount } = this;
      throw new WireError(`${awaitedCount} elements announced, ${remainingBytes} bytes left`);
    }
    if (++this.depth > MAX_DEPTH) throw new WireError(`nested more than ${MAX_DEPTH} deep`);
    this.reserve(CONTAINER_BYTES);
  }

  /** Leaves the innermost list, map or record. */
  leave(): void {
    this.depth--;
  }

  private skip(byteCount: number): void {
    if (byteCount > this.remainingBytes) throw new WireError('the message is truncated');
    this.offset += byteCount;
  }

  private get remainingBytes(): number {
    return this.bytes.length - this.offset;
  }

  private reserve(byteCount: number): void {
    this.reservedBytes += byteCount;
    if (this.reservedBytes > MAX_DECODED_BYTES)
      throw new TooLargeError(`decoding takes more than ${MAX_DECODED_BYTES} bytes`);
  }
}
