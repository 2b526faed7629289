/** Users of a soak: submit, cancel and poll jobs at any controller until each job has ended. */
import { parseSubmission, type Duration, type Instant } from '@tealdock/wire';
import { HttpClient } from '@tealdock/adapters';
import type { CallResult, Random } from '@tealdock/controller';
import { between, pick } from '../simulation/seeded-random.js';
import { job } from '../simulation/small-job.js';
import type { LoopbackSite } from './loopback-site.js';
import { NODES } from './site-times.js';
import { LOOPBACK } from './loopback.js';

const SUBMIT_TIMEOUT_MS: Duration = 5000;
const POLL_TIMEOUT_MS: Duration = 2000;
const RETRY_DELAY_MS: Duration = 1000;
const POLL_INTERVAL_MS: Duration = 60;
const MAX_SOCKET_COUNT = 64;
/** Fraction of the jobs that users cancel. */
const CANCELLED_FRACTION = 0.5;
/** Run times of jobs to be cancelled, in s: longer than a soak's cancellation limit. */
const CANCELLED_RUN_TIMES_S: Range = [40, 70];
/** Time between the acceptance and the cancellation of such a job. */
const CANCELLATION_DELAY_MS: Range = [0, 25_000];
/**
 * Probability that a user submits an accepted job again, polls a job after cancelling it, or chooses
 * the job to poll from all accepted jobs instead of the unfinished ones.
 */
const REPEATED_REQUEST_FRACTION = 0.2;

type Range = [least: number, most: number];

/** A user's request to a controller. */
interface UserRequest {
  method: string;
  path: string;
  body: unknown;
  timeout: Duration;
}

/** The load that users put on a site. */
export interface Load {
  /** Range of the run times of tasks, for jobs that users don't cancel. */
  runTimesS: Range;
  submissionsPerSecond: number;
  maxTasksPerJob: number;
}

/** Numbers of accepted jobs and of responses. */
export interface UserCounts {
  accepted: number;
  answers: number;
}

/** Puts the load on a site. Job ids are consecutive here; nothing depends on that. */
export class SoakUsers {
  readonly counts: UserCounts = { accepted: 0, answers: 0 };
  private readonly client = new HttpClient(MAX_SOCKET_COUNT);
  /** When the cancellation of each job was first confirmed to a user. */
  readonly cancelledAt = new Map<string, Instant>();
  private readonly acceptedIds = new Set<string>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private isSubmitting = true;
  private lastJobNumber = 0;
  private isClosed = false;

  constructor(
    private readonly site: LoopbackSite,
    private readonly random: Random,
    private readonly load: Load,
  ) {}

  start(): void {
    this.submitNext();
    this.pollNext();
  }

  stopSubmitting(): void {
    this.isSubmitting = false;
  }

  close(): void {
    this.isClosed = true;
    for (const timer of this.timers) clearTimeout(timer);
  }

  /** Accepted jobs of which no response has reported the end. */
  openJobs(): string[] {
    return [...this.acceptedIds].filter((id) => this.site.checker.finalStatus(id) === null);
  }

  /** Number of jobs that a response has reported as cancelled. */
  cancelledCount(): number {
    return [...this.acceptedIds].filter((id) => this.site.checker.finalStatus(id) === 'aborted')
      .length;
  }

  /** Cancels up to `count` running jobs, each at some controller. */
  cancelRunningJobs(count: number): void {
    const running = this.site.workers.runningJobIds();
    const open = this.openJobs().filter((id) => running.has(id));
    for (const id of open.slice(0, count)) this.cancel(id);
  }

  /** Polls each accepted job at each controller. */
  async pollAll(): Promise<void> {
    for (const node of NODES) {
      await Promise.all([...this.acceptedIds].map((id) => this.poll(id, node)));
    }
  }

  private submitNext(): void {
    if (!this.isSubmitting) return;
    const id = ++this.lastJobNumber;
    const willCancel = this.random() < CANCELLED_FRACTION;
    const runTimes = willCancel ? CANCELLED_RUN_TIMES_S : this.load.runTimesS;
    const body = job(id, {
      batch: Math.ceil(this.random() * this.load.maxTasksPerJob),
      expected_s: between(this.random, ...runTimes),
      urgency: pick(this.random, ['normal', 'idle', 'urgent']),
    });
    this.submit(body, willCancel);
    this.after((1000 / this.load.submissionsPerSecond) * between(this.random, 0.3, 1.7), () =>
      this.submitNext(),
    );
  }

  private submit(body: Record<string, unknown>, willCancel: boolean): void {
    const spec = parseSubmission(body);
    if (!this.site.jobSpecs.has(spec.id)) {
      this.site.jobSpecs.set(spec.id, spec);
      this.site.checker.noteSubmission(spec);
    }
    const request = { method: 'POST', path: '/api/jobs', body, timeout: SUBMIT_TIMEOUT_MS };
    void this.requestAndCheck(spec.id, request).then((status) => {
      if (status !== 200 && status !== 201)
        return this.after(RETRY_DELAY_MS, () => this.submit(body, willCancel));
      if (!this.acceptedIds.has(spec.id)) this.noteAccepted(spec.id, willCancel);
      if (this.random() < REPEATED_REQUEST_FRACTION)
        this.after(RETRY_DELAY_MS, () => this.submit(body, willCancel));
    });
  }

  private noteAccepted(id: string, willCancel: boolean): void {
    this.acceptedIds.add(id);
    this.counts.accepted++;
    if (willCancel)
      this.after(between(this.random, ...CANCELLATION_DELAY_MS), () => this.cancel(id));
  }

  private cancel(id: string): void {
    const path = `/api/jobs/${id}/cancel`;
    const request = { method: 'POST', path, body: null, timeout: SUBMIT_TIMEOUT_MS };
    void this.requestAndCheck(id, request).then((status) => {
      if (status !== 200) return this.after(RETRY_DELAY_MS, () => this.cancel(id));
      if (this.site.checker.finalStatus(id) === 'aborted' && !this.cancelledAt.has(id))
        this.cancelledAt.set(id, performance.now());
      if (this.random() < REPEATED_REQUEST_FRACTION)
        this.after(RETRY_DELAY_MS, () => void this.poll(id, this.anyNode()));
    });
  }

  private pollNext(): void {
    const jobIds =
      this.random() < REPEATED_REQUEST_FRACTION ? [...this.acceptedIds] : this.openJobs();
    if (jobIds.length > 0) void this.poll(pick(this.random, jobIds), this.anyNode());
    this.after(POLL_INTERVAL_MS, () => this.pollNext());
  }

  private poll(id: string, node: string): Promise<number | null> {
    const path = `/api/jobs/${id}`;
    return this.requestAndCheck(
      id,
      { method: 'GET', path, body: null, timeout: POLL_TIMEOUT_MS },
      node,
    );
  }

  /** Sends a request and checks its response; returns the HTTP status, null without a response. */
  private async requestAndCheck(
    id: string,
    request: UserRequest,
    node: string = this.anyNode(),
  ): Promise<number | null> {
    const checkResponse = this.site.checker.beginRequest(id);
    const result = await this.send(request, node);
    if (result.kind !== 'answer') return null;
    this.counts.answers++;
    checkResponse(result.status, result.body);
    return result.status;
  }

  private send(request: UserRequest, node: string): Promise<CallResult> {
    const port = this.site.httpPorts.get(node) ?? 0;
    return this.client.request({ host: LOOPBACK, port, ...request });
  }

  private anyNode(): string {
    return pick(this.random, NODES);
  }

  private after(delay: Duration, run: () => void): void {
    if (this.isClosed) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, delay);
    this.timers.add(timer);
  }
}
