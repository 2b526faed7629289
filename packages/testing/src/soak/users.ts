/** Users of a soak: they submit, repeat, ask and cancel at all nodes, until each job has ended. */
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
const SOCKET_COUNT = 64;
/** Part of all jobs that users cancel, and part of all answers that make them ask once more. */
const CANCELLED_FRACTION = 0.5;
/** They would run for longer than a cancellation may take, in s. */
const CANCELLED_RUN_TIMES_S: Range = [40, 70];
const CANCELLED_AFTER_MS: Range = [0, 25_000];
const REPEATED_FRACTION = 0.2;

type Range = [least: number, most: number];

/** A user's request to some node. */
interface UserRequest {
  method: string;
  path: string;
  body: unknown;
  timeout: Duration;
}

/** How much the users do. */
export interface Load {
  /** Run times of tasks, in s. */
  runTimes: Range;
  /** Submissions per second, and the most tasks of one. */
  submissions: number;
  tasks: number;
}

/** What the users were told. */
export interface UserCounts {
  accepted: number;
  answers: number;
}

/** Puts the load on a site. Ids come in order here; nothing depends on it. */
export class SoakUsers {
  readonly counts: UserCounts = { accepted: 0, answers: 0 };
  private readonly client = new HttpClient(SOCKET_COUNT);
  /** When users were first told that a job is cancelled. */
  readonly cancelledAt = new Map<string, Instant>();
  private readonly acceptedIds = new Set<string>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private submitting = true;
  private lastNumber = 0;
  private closed = false;

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
    this.submitting = false;
  }

  close(): void {
    this.closed = true;
    for (const timer of this.timers) clearTimeout(timer);
  }

  /** Accepted jobs that no user has been told the end of. */
  openJobs(): string[] {
    return [...this.acceptedIds].filter((id) => this.site.checker.finalStatus(id) === null);
  }

  /** Jobs that users were told are cancelled. */
  cancelledCount(): number {
    return [...this.acceptedIds].filter((id) => this.site.checker.finalStatus(id) === 'aborted')
      .length;
  }

  /** Users call off jobs that run, at any node. */
  cancelSome(count: number): void {
    const running = this.site.workers.runningJobs();
    const open = this.openJobs().filter((id) => running.has(id));
    for (const id of open.slice(0, count)) this.cancel(id);
  }

  /** Asks every node about every job. */
  async pollAll(): Promise<void> {
    for (const node of NODES) {
      await Promise.all([...this.acceptedIds].map((id) => this.poll(id, node)));
    }
  }

  private submitNext(): void {
    if (!this.submitting) return;
    const id = ++this.lastNumber;
    const unwanted = this.random() < CANCELLED_FRACTION;
    const runTimes = unwanted ? CANCELLED_RUN_TIMES_S : this.load.runTimes;
    const body = job(id, {
      batch: Math.ceil(this.random() * this.load.tasks),
      expected_s: between(this.random, ...runTimes),
      urgency: pick(this.random, ['normal', 'idle', 'urgent']),
    });
    this.submit(body, unwanted);
    this.after((1000 / this.load.submissions) * between(this.random, 0.3, 1.7), () =>
      this.submitNext(),
    );
  }

  private submit(body: Record<string, unknown>, unwanted: boolean): void {
    const spec = parseSubmission(body);
    if (!this.site.jobs.has(spec.id)) {
      this.site.jobs.set(spec.id, spec);
      this.site.checker.noteSubmission(spec);
    }
    const request = { method: 'POST', path: '/api/jobs', body, timeout: SUBMIT_TIMEOUT_MS };
    void this.ask(spec.id, request).then((status) => {
      if (status !== 200 && status !== 201)
        return this.after(RETRY_DELAY_MS, () => this.submit(body, unwanted));
      if (!this.acceptedIds.has(spec.id)) this.noteAccepted(spec.id, unwanted);
      if (this.random() < REPEATED_FRACTION)
        this.after(RETRY_DELAY_MS, () => this.submit(body, unwanted));
    });
  }

  private noteAccepted(id: string, unwanted: boolean): void {
    this.acceptedIds.add(id);
    this.counts.accepted++;
    if (unwanted) this.after(between(this.random, ...CANCELLED_AFTER_MS), () => this.cancel(id));
  }

  private cancel(id: string): void {
    const path = `/api/jobs/${id}/cancel`;
    const request = { method: 'POST', path, body: null, timeout: SUBMIT_TIMEOUT_MS };
    void this.ask(id, request).then((status) => {
      if (status !== 200) return this.after(RETRY_DELAY_MS, () => this.cancel(id));
      if (this.site.checker.finalStatus(id) === 'aborted' && !this.cancelledAt.has(id))
        this.cancelledAt.set(id, performance.now());
      if (this.random() < REPEATED_FRACTION)
        this.after(RETRY_DELAY_MS, () => void this.poll(id, this.anyNode()));
    });
  }

  private pollNext(): void {
    const asked = this.random() < REPEATED_FRACTION ? [...this.acceptedIds] : this.openJobs();
    if (asked.length > 0) void this.poll(pick(this.random, asked), this.anyNode());
    this.after(POLL_INTERVAL_MS, () => this.pollNext());
  }

  private poll(id: string, node: string): Promise<number | null> {
    const path = `/api/jobs/${id}`;
    return this.ask(id, { method: 'GET', path, body: null, timeout: POLL_TIMEOUT_MS }, node);
  }

  /** Status of the answer; null where none came. */
  private async ask(
    id: string,
    request: UserRequest,
    node: string = this.anyNode(),
  ): Promise<number | null> {
    const answered = this.site.checker.beginRequest(id);
    const result = await this.send(request, node);
    if (result.kind !== 'answer') return null;
    this.counts.answers++;
    answered(result.status, result.body);
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
    if (this.closed) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, delay);
    this.timers.add(timer);
  }
}
