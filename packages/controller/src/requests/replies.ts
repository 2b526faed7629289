/** Replies that several kinds of requests share. */
import {
  WireError,
  renderJobView,
  renderRedirect,
  type Duration,
  type JobView,
} from '@tealdock/wire';
import type { HttpRequest, Reply } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

/** Sends the one reply to a request. */
export type Respond = (reply: Reply) => void;

/** When users may repeat a request that could not be answered. */
export const RETRY_AFTER_MS: Duration = 1000;

/** A refusal with its reason. */
export const errorReply = (status: number, error: string): Reply => ({ status, body: { error } });

/** The state service could not be asked: nothing is known, and the request may be repeated. */
export const unavailableReply = (): Reply => ({
  ...errorReply(503, 'state service not reached'),
  retryAfter: RETRY_AFTER_MS,
});

/** The state of a job. */
export const jobReply = (view: JobView, status = 200): Reply => ({
  status,
  body: renderJobView(view),
});

/** Replies to a request whose path knows only another method. */
export function replyMethodNotAllowed(runtime: Runtime, request: HttpRequest, allow: string): void {
  runtime.reply(request.id, { ...errorReply(405, 'method not allowed'), allow });
}

/** Replies to a request whose body could not be read; throws any error but a `WireError`. */
export function replyMalformed(runtime: Runtime, request: HttpRequest, error: unknown): void {
  if (!(error instanceof WireError)) throw error;
  runtime.reply(request.id, errorReply(400, error.message));
}

/** Sends a worker to the leader, or to any other node where the leader is not known. */
export function replyRedirect(runtime: Runtime, requestId: number, leader: string | null): void {
  runtime.stats.count('reports.redirected');
  runtime.reply(requestId, { status: 421, body: renderRedirect(leader) });
}
