/** Replies that several request handlers share. */
import {
  WireError,
  renderJobView,
  renderRedirect,
  type Duration,
  type JobView,
} from '@tealdock/wire';
import type { HttpRequest, Reply } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

/** Sends the reply to a request; called once. */
export type Respond = (reply: Reply) => void;

/** Time after which users may repeat a request that could not be answered. */
export const RETRY_AFTER_MS: Duration = 1000;

/** A reply with a message that says why the request was refused. */
export const errorReply = (status: number, error: string): Reply => ({ status, body: { error } });

/** A 503 for a request that the state service could not be asked about; it may be repeated. */
export const unavailableReply = (): Reply => ({
  ...errorReply(503, 'state service not reached'),
  retryAfter: RETRY_AFTER_MS,
});

/** A reply with the state of a job. */
export const jobReply = (view: JobView, status = 200): Reply => ({
  status,
  body: renderJobView(view),
});

/** Replies to a request whose path supports only the method `allow`. */
export function replyMethodNotAllowed(runtime: Runtime, request: HttpRequest, allow: string): void {
  runtime.reply(request.id, { ...errorReply(405, 'method not allowed'), allow });
}

/** Replies to a request whose body could not be decoded; rethrows any error but a `WireError`. */
export function replyMalformed(runtime: Runtime, request: HttpRequest, error: unknown): void {
  if (!(error instanceof WireError)) throw error;
  recordMalformed(runtime, request, error);
  runtime.reply(request.id, errorReply(400, error.message));
}

/** Counts and logs a request whose body could not be decoded. */
export function recordMalformed(runtime: Runtime, request: HttpRequest, error: WireError): void {
  runtime.stats.count('requests.malformed');
  const { path, body } = request;
  runtime.log('debug', { path, bytes: body.length, error: error.message }, 'malformed request');
}

/** Redirects a worker to the leader, or to any other node if `leader` is null. */
export function replyRedirect(runtime: Runtime, requestId: number, leader: string | null): void {
  runtime.stats.count('reports.redirected');
  runtime.reply(requestId, { status: 421, body: renderRedirect(leader) });
}
