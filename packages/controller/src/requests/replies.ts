/** Answers that several kinds of requests share. */
import { WireError, renderJobView, type Duration, type JobView } from '@tealdock/wire';
import type { HttpRequest, Reply } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

/** When users are asked to come back where nothing can be told or done now. */
export const RETRY_AFTER: Duration = 1000;

/** A refusal with its reason. */
export const refuse = (status: number, error: string): Reply => ({ status, body: { error } });

/** Nothing can be told or done now. */
export const unsure = (): Reply => ({
  ...refuse(503, 'state service not reached'),
  retryAfter: RETRY_AFTER,
});

/** How a job stands. */
export const shown = (view: JobView, status = 200): Reply => ({
  status,
  body: renderJobView(view),
});

/** Answers a request whose path knows only another method. */
export function methodNotAllowed(runtime: Runtime, request: HttpRequest, allow: string): void {
  runtime.reply(request.id, { ...refuse(405, 'method not allowed'), allow });
}

/** Answers a request whose body could not be read; anything but that goes on as an error. */
export function malformed(runtime: Runtime, request: HttpRequest, error: unknown): void {
  if (!(error instanceof WireError)) throw error;
  runtime.reply(request.id, refuse(400, error.message));
}
