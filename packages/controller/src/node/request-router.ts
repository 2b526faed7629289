/** Routes requests by path, and itself serves health checks, metrics and peers' cancellations. */
import {
  CANCELLATIONS_PATH,
  HEALTH_PATH,
  HEARTBEAT_PATH,
  parseCancellations,
  unpackBody,
} from '@tealdock/wire';
import type { HeartbeatRequests } from '../requests/heartbeat-requests.js';
import type { JobRequests } from '../requests/job-requests.js';
import { errorReply, replyMalformed, replyMethodNotAllowed } from '../requests/replies.js';
import type { HttpRequest } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { NodeHealth } from './node-health.js';

const METRICS_PATH = '/metrics';

/** The handlers that requests are routed to. */
export interface RequestHandlers {
  jobRequests: JobRequests;
  heartbeatRequests: HeartbeatRequests;
  health: NodeHealth;
  /** Called when a peer announces that it has committed the cancellation of this job. */
  onCancellation: (job: string) => void;
}

/** Makes sure that every request gets a reply, now or later. */
export class RequestRouter {
  constructor(
    private readonly runtime: Runtime,
    private readonly handlers: RequestHandlers,
  ) {}

  /** Passes a request to the handler of its path; 404 if there is none. */
  route(request: HttpRequest): void {
    const { path, via } = request;
    if (path === HEALTH_PATH) return this.replyWithHealth(request);
    if (path === HEARTBEAT_PATH) return this.handlers.heartbeatRequests.handle(request);
    if (path === METRICS_PATH) return this.replyWithMetrics(request);
    if (path === CANCELLATIONS_PATH && via === 'peer') return this.receiveCancellations(request);
    if (this.handlers.jobRequests.handle(request)) return;
    this.runtime.reply(request.id, errorReply(404, 'no such path'));
  }

  private replyWithHealth(request: HttpRequest): void {
    if (request.method !== 'GET') return replyMethodNotAllowed(this.runtime, request, 'GET');
    const healthy = this.handlers.health.isHealthy;
    this.runtime.reply(request.id, { status: healthy ? 200 : 503, body: { healthy } });
  }

  private replyWithMetrics(request: HttpRequest): void {
    if (request.method !== 'GET') return replyMethodNotAllowed(this.runtime, request, 'GET');
    this.runtime.reply(request.id, { status: 200, body: this.runtime.stats.snapshot() });
  }

  private receiveCancellations(request: HttpRequest): void {
    try {
      const jobs = parseCancellations(unpackBody(request.body));
      for (const job of jobs) this.handlers.onCancellation(job);
      this.runtime.reply(request.id, { status: 200, body: {} });
    } catch (error) {
      replyMalformed(this.runtime, request, error);
    }
  }
}
