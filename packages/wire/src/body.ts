/** MessagePack bodies of requests and answers, and conversions of their units. */
import { decode, encode } from '@msgpack/msgpack';
import type { Duration } from './domain.js';
import { WireError } from './errors.js';

/** The limit for request bodies and for answers to workers and users. */
export const MAX_BODY_BYTES = 64 * 1024;

const MS_PER_SECOND = 1000;

/** A value as MessagePack; fields that are undefined are left out. */
export function packBody(value: unknown): Buffer {
  const bytes = encode(value, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** What a MessagePack body holds; throws `WireError` for anything else. */
export function unpackBody(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch (error) {
    throw new WireError(`not MessagePack: ${String(error)}`, { cause: error });
  }
}

/** Seconds, as the interfaces carry durations. */
export const secondsOf = (duration: Duration): number => duration / MS_PER_SECOND;
/** Milliseconds, as all durations inside tealdock are. */
export const millisecondsOf = (seconds: number): Duration => seconds * MS_PER_SECOND;
