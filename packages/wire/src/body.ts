/** MessagePack bodies of requests and responses, and conversions between seconds and ms. */
import { decode, encode } from '@msgpack/msgpack';
import type { Duration } from './domain.js';
import { TooLargeError, WireError } from './errors.js';
import { checkMessagePack } from './message-pack-walk.js';

/** Size limit of request bodies and of responses to workers and users. */
export const MAX_BODY_BYTES = 64 * 1024;

const MS_PER_SECOND = 1000;

/** Encodes a value as MessagePack; fields that are undefined are left out. */
export function packBody(value: unknown): Buffer {
  const bytes = encode(value, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/**
 * Decodes a MessagePack body. Throws `TooLargeError` if decoding it would take too much memory, and
 * `WireError` if it is not valid MessagePack or exceeds the decoding bound otherwise.
 */
export function unpackBody(bytes: Uint8Array): unknown {
  try {
    checkMessagePack(bytes);
    return decode(bytes);
  } catch (error) {
    if (error instanceof TooLargeError) throw error;
    throw new WireError(`not MessagePack: ${messageOf(error)}`, { cause: error });
  }
}

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** Converts a duration to seconds, the unit of durations in all interfaces. */
export const secondsOf = (duration: Duration): number => duration / MS_PER_SECOND;
/** Converts seconds to milliseconds, the unit of all durations inside tealdock. */
export const millisecondsOf = (seconds: number): Duration => seconds * MS_PER_SECOND;
