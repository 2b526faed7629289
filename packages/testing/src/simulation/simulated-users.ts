/** Users of a simulated cluster: they submit, poll and cancel jobs. */
import { packBody, parseSubmission, type JobSpec } from '@tealdock/wire';
import type { Reply } from '@tealdock/controller';
import type { RuleChecker } from '../checker/rule-checker.js';
import type { ControllerProcesses } from './controller-processes.js';

/** Receives the reply to a request; null if the node does not run. */
export type OnReply = (reply: Reply | null) => void;

/** Retry time in the 503 that a client receives if the node has no socket for it. */
const RETRY_AFTER_MS = 1000;

interface UserRequest {
  node: string;
  method: 'GET' | 'POST';
  path: string;
  body: unknown;
  jobId: string;
}

/** Sends the users' requests, and records requests and replies with the rule checker. */
export class SimulatedUsers {
  constructor(
    private readonly processes: ControllerProcesses,
    private readonly checker: RuleChecker,
    private readonly jobs: Map<string, JobSpec>,
  ) {}

  submit(job: Record<string, unknown>, node: string, done?: OnReply): void {
    const spec = parseSubmission(job);
    this.jobs.set(spec.id, spec);
    this.checker.noteSubmission(spec);
    this.post('/api/jobs', job, spec.id, node, done);
  }

  /** Submits a job that must be refused because it fits no machine or lacks a field. */
  submitInvalid(job: Record<string, unknown>, node: string, done?: OnReply): void {
    const id = String(job['ref']);
    this.checker.expectRefusal(id);
    this.post('/api/jobs', job, id, node, done);
  }

  poll(id: string, node: string, done?: OnReply): void {
    const path = `/api/jobs/${id}`;
    this.send({ node, method: 'GET', path, body: null, jobId: id }, done);
  }

  cancel(id: string, node: string, done?: OnReply): void {
    this.post(`/api/jobs/${id}/cancel`, null, id, node, done);
  }

  private post(path: string, body: unknown, jobId: string, node: string, done?: OnReply): void {
    this.send({ node, method: 'POST', path, body, jobId }, done);
  }

  private send({ node, method, path, body, jobId }: UserRequest, done?: OnReply): void {
    const recordReply = this.checker.beginRequest(jobId);
    const { sockets } = this.processes.running.get(node) ?? {};
    const connection = sockets?.request(`user of ${jobId}`, 'user');
    if (connection === 'rejected') {
      return done?.({ status: 503, body: {}, retryAfter: RETRY_AFTER_MS });
    }
    const request = { method, path, body: packBody(body), via: 'public' as const };
    this.processes.request(node, request, (reply) => {
      connection?.markAnswered();
      if (reply) recordReply(reply.status, reply.body);
      done?.(reply);
    });
  }
}
