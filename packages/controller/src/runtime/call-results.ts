/** Reads the responses to calls. */
import { WireError } from '@tealdock/wire';
import type { CallResult } from './ports.js';

/**
 * The body of a response with status 200, as `parse` reads it. Null where no such response
 * came, or where the body is malformed.
 */
export function parseResponse<T>(result: CallResult, parse: (body: unknown) => T): T | null {
  if (result.kind !== 'answer' || result.status !== 200) return null;
  return parseOrNull(() => parse(result.body));
}

/** Null where the parser throws `WireError`; any other error is a fault of this program. */
export function parseOrNull<T>(parse: () => T): T | null {
  try {
    return parse();
  } catch (error) {
    if (error instanceof WireError) return null;
    throw error;
  }
}
