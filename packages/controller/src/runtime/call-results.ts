/** Parses the responses to calls. */
import { WireError } from '@tealdock/wire';
import type { CallResult } from './ports.js';

/**
 * The parsed body of a response with status 200. Null if there was no response, if it has another
 * status, or if its body is malformed.
 */
export function parseResponse<T>(result: CallResult, parse: (body: unknown) => T): T | null {
  if (result.kind !== 'answer' || result.status !== 200) return null;
  return parseOrNull(() => parse(result.body));
}

/** Null if `parse` throws `WireError`; any other error is a bug and is thrown on. */
export function parseOrNull<T>(parse: () => T): T | null {
  try {
    return parse();
  } catch (error) {
    if (error instanceof WireError) return null;
    throw error;
  }
}
