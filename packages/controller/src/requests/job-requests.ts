/** Users' requests about jobs: routes them by path and limits how many are pending. */
import { JOBS_PATH } from '@tealdock/wire';
import type { Peers } from '../peers/peers.js';
import type { CallResult, HttpRequest, Reply } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import type { Cancellations } from './cancellations.js';
import type { JobStatus } from './job-status.js';
import {
  RETRY_AFTER_MS,
  replyMethodNotAllowed,
  unavailableReply,
  type Respond,
} from './replies.js';
import type { Submissions } from './submissions.js';

/** Requests that may be pending at the same time; a further one gets a 503 with a retry time. */
const MAX_PENDING_COUNT = 400;

/** The services that carry out the requests. */
export interface JobServices {
  submissions: Submissions;
  jobStatus: JobStatus;
  cancellations: Cancellations;
}

/** The operation that a path stands for, and the only method that the path allows. */
interface Operation {
  method: 'GET' | 'POST';
  run: (respond: Respond) => void;
}

/**
 * Serves users' requests on any node, from the state service. A node that can't reach the state
 * service forwards them to a peer that can.
 */
export class JobRequests {
  private pendingCount = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly peers: Peers,
    private readonly services: JobServices,
  ) {}

  /** Replies to a request, now or later; false if its path does not belong to this interface. */
  handle(request: HttpRequest): boolean {
    const operation = this.operationOf(request);
    if (!operation) return false;
    if (request.method !== operation.method) {
      replyMethodNotAllowed(this.runtime, request, operation.method);
    } else if (this.pendingCount >= MAX_PENDING_COUNT) {
      this.runtime.reply(request.id, unavailableReply());
    } else {
      this.pendingCount++;
      operation.run((reply) => this.finish(request, reply));
    }
    return true;
  }

  /** Paths are `<jobs>`, `<jobs>/<id>` and `<jobs>/<id>/cancel`; null for any other path. */
  private operationOf(request: HttpRequest): Operation | null {
    if (!request.path.startsWith(JOBS_PATH)) return null;
    const [empty, id, verb, ...more] = request.path.slice(JOBS_PATH.length).split('/');
    if (empty !== '') return null;
    const { submissions, jobStatus, cancellations } = this.services;
    if (id === undefined) {
      return { method: 'POST', run: (respond) => submissions.submit(request, respond) };
    }
    if (verb === undefined)
      return { method: 'GET', run: (respond) => jobStatus.replyWithState(id, respond) };
    if (verb !== 'cancel' || more.length > 0) return null;
    return { method: 'POST', run: (respond) => cancellations.cancel(id, respond) };
  }

  /**
   * Sends the reply. If this node could not reach the state service, a user's request is forwarded
   * to a peer instead; a request that came from a peer is not, so that none goes in circles.
   */
  private finish(request: HttpRequest, reply: Reply): void {
    const mayForward =
      reply.status === 503 && request.via === 'public' && this.state.lastCallFailed;
    const isForwarded =
      mayForward &&
      this.peers.forwardRequest(request, (result) =>
        this.respond(request, forwardedReply(result) ?? reply),
      );
    if (!isForwarded) this.respond(request, reply);
  }

  private respond(request: HttpRequest, reply: Reply): void {
    this.pendingCount--;
    this.runtime.reply(request.id, reply);
  }
}

/** A peer's response to a forwarded request; null if there was none. */
function forwardedReply(result: CallResult): Reply | null {
  if (result.kind !== 'answer') return null;
  const { status, body } = result;
  return status === 503 ? { status, body, retryAfter: RETRY_AFTER_MS } : { status, body };
}
