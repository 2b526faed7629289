/** Bodies of requests and answers. */
import { decode, encode } from '@msgpack/msgpack';

/** Thrown when a body does not have the form its interface asks for. */
export class WireError extends Error {}

/** The limit for request bodies and for answers to workers and users. */
export const MAX_BODY_BYTES = 64 * 1024;

/** A body as MessagePack. */
export function packBody(value: unknown): Buffer {
  const bytes = encode(value, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** What a MessagePack body holds; throws `WireError` for anything else. */
export function unpackBody(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch (error) {
    throw new WireError(`not MessagePack: ${String(error)}`);
  }
}

export const seconds = (ms: number): number => ms / 1000;
export const millis = (s: number): number => s * 1000;
