/** The protocol's rules, checked from outside. */
import { predecessorsOf, type JobSpec } from '@tealdock/wire';
import type { ObservedJob } from './observed-job.js';
import { findUnserved } from './service-levels.js';
import { fits, type FreeCapacity } from './free-capacity.js';

/** A job counts as forgotten if no request about it is answered for longer. */
const MAX_UNANSWERED_MS = 75_000;
/** A job must not wait for longer while a machine that fits has free capacity. */
const MAX_LEFT_WAITING_MS = 90_000;
/** HTTP statuses that confirm that a job is known, and statuses that deny it. */
const ACCEPTING_STATUSES = [200, 201];
const REFUSING_STATUSES = [400, 404, 422];

/**
 * Checks the protocol's rules by the replies that users get and the tasks that machines run. It
 * knows nothing of the controllers' implementation.
 */
export class RuleChecker {
  readonly violations: string[] = [];
  startCount = 0;
  /** Starts after a confirmed cancellation: allowed, since the start may have been in flight. */
  startsAfterCancellationCount = 0;
  /** When all faults ended; null before that. */
  private faultFreeSince: number | null = null;
  private readonly invalidIds = new Set<string>();
  private readonly jobs = new Map<string, ObservedJob>();
  private readonly maxCpusByTeam = new Map<string, number>();
  private readonly running = new Map<string, Set<string>>();

  constructor(
    private readonly now: () => number,
    private readonly cpuLimits: Map<string, number>,
    private readonly cancellationLimit: number,
  ) {}

  noteSubmission(spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    this.jobs.set(spec.id, {
      spec,
      submittedAt: this.now(),
      firstStartedAt: null,
      unansweredSince: null,
      leftWaitingSince: null,
      accepted: false,
      finalStatus: null,
      cancellationConfirmedAt: null,
      doneAt: null,
      doneTasks: new Set(),
    });
  }

  /** Submissions under this id are invalid, so that none may be accepted. */
  expectRefusal(id: string): void {
    if (!this.jobs.has(id)) this.invalidIds.add(id);
  }

  noteFaultsEnded(): void {
    this.faultFreeSince = this.now();
  }

  /**
   * Records a request about a job: a submission, a poll or a cancellation. The function returned
   * takes the reply and checks it against what was known when the request was sent.
   */
  beginRequest(id: string): (status: number, body: unknown) => void {
    const [known, final] = [this.isAccepted(id), this.finalStatus(id)];
    this.noteRequest(id);
    return (status, body) => {
      const state = (body as { status?: string } | null)?.status;
      this.noteResponse(id, status, state, known, final);
    };
  }

  noteRequest(id: string): void {
    const job = this.jobs.get(id);
    if (job) job.unansweredSince ??= this.now();
  }

  /**
   * Records a reply about a job. `state` is undefined if the reply has no status of the job. The
   * last two arguments say what was known when the request was sent.
   */
  noteResponse(
    id: string,
    status: number,
    state: string | undefined,
    acceptedWhenAsked: boolean,
    finalStatusWhenAsked: string | null,
  ): void {
    const job = this.jobs.get(id);
    if (!job) return this.checkUnknownJob(id, status);
    if (acceptedWhenAsked && REFUSING_STATUSES.includes(status))
      this.reportViolation('forgotten', `${id} ${status}`);
    if (!ACCEPTING_STATUSES.includes(status)) return;
    job.accepted = true;
    job.unansweredSince = null;
    if (state === undefined) return;
    if (finalStatusWhenAsked !== null && finalStatusWhenAsked !== state) {
      this.reportViolation('went_back', `${id} to ${state}`);
    }
    this.noteStatus(id, job, state);
  }

  private checkUnknownJob(id: string, status: number): void {
    if (this.invalidIds.has(id) && ACCEPTING_STATUSES.includes(status))
      this.reportViolation('accepted', id);
    else if (status === 200) this.reportViolation('invented', id);
  }

  isAccepted(id: string): boolean {
    return this.jobs.get(id)?.accepted ?? false;
  }

  finalStatus(id: string): string | null {
    return this.jobs.get(id)?.finalStatus ?? null;
  }

  doneTasks(id: string): ReadonlySet<string> {
    return this.jobs.get(id)?.doneTasks ?? new Set();
  }

  /** The most CPUs that a team used at any start. */
  maxCpusUsed(team: string): number {
    return this.maxCpusByTeam.get(team) ?? 0;
  }

  private noteStatus(id: string, job: ObservedJob, state: string): void {
    if (state === 'done' && job.doneTasks.size < job.spec.taskCount)
      this.reportViolation('not_done', id);
    if (state === 'queued' || state === 'running') {
      const late = this.now() - this.predecessorCancelledSince(job) > this.cancellationLimit;
      if (late) this.reportViolation('orphaned', `${id} ${state}`);
    }
    if (state !== 'done' && state !== 'aborted') return;
    if (job.finalStatus !== null && job.finalStatus !== state)
      this.reportViolation('went_back', `${id} to ${state}`);
    job.finalStatus = state;
    if (state === 'aborted') job.cancellationConfirmedAt ??= this.now();
  }

  noteStart(task: string, machine: string): void {
    this.startCount++;
    const machines = this.running.get(task) ?? new Set();
    if ([...machines].some((m) => m !== machine)) this.reportViolation('ran_twice', task);
    machines.add(machine);
    this.running.set(task, machines);
    const job = this.jobOf(task);
    if (job) job.firstStartedAt ??= this.now();
    if (job && this.waitsForPredecessor(job)) this.reportViolation('too_early', task);
    if (job && job.cancellationConfirmedAt !== null) this.startsAfterCancellationCount++;
    this.checkCancelled(task);
    this.checkQuota();
  }

  noteEnd(task: string, machine: string, reason: string): void {
    const machines = this.running.get(task);
    machines?.delete(machine);
    if (machines?.size === 0) this.running.delete(task);
    const job = this.jobOf(task);
    if (reason !== 'done' || !job) return;
    job.doneTasks.add(task);
    if (job.doneTasks.size === job.spec.taskCount) job.doneAt ??= this.now();
  }

  private predecessors(job: ObservedJob): ObservedJob[] {
    return predecessorsOf(job.spec).flatMap((p) => this.jobs.get(p) ?? []);
  }

  /** Whether some predecessor is not done. */
  private waitsForPredecessor(job: ObservedJob): boolean {
    return this.predecessors(job).some((p) => p.doneAt === null);
  }

  /** When the job was submitted or its last predecessor was done; now while one is not done. */
  private runnableSince(job: ObservedJob): number {
    return Math.max(job.submittedAt, ...this.predecessors(job).map((p) => p.doneAt ?? this.now()));
  }

  /** When a reply first confirmed that some ancestor is cancelled; Infinity if none has. */
  private predecessorCancelledSince(job: ObservedJob, seen = new Set<ObservedJob>()): number {
    let first = Infinity;
    for (const p of this.predecessors(job)) {
      if (seen.has(p)) continue;
      seen.add(p);
      first = Math.min(
        first,
        p.cancellationConfirmedAt ?? Infinity,
        this.predecessorCancelledSince(p, seen),
      );
    }
    return first;
  }

  /** Checks the rules that time alone can break; must be called regularly. */
  check(): void {
    for (const [task, machines] of this.running) if (machines.size > 0) this.checkCancelled(task);
    if (this.faultFreeSince === null) return;
    for (const [id, job] of this.jobs) {
      const since = Math.max(job.unansweredSince ?? Infinity, this.faultFreeSince);
      if (!job.accepted || this.now() - since <= MAX_UNANSWERED_MS) continue;
      this.reportViolation('forgotten', `${id}: no answer`);
      job.unansweredSince = null;
    }
  }

  /** Once all faults have ended, reports jobs that wait beside free capacity for too long. */
  checkFreeCapacity(freeCapacities: FreeCapacity[]): void {
    if (this.faultFreeSince === null) return;
    const runningCounts = this.countRunning();
    for (const [id, job] of this.jobs) {
      if (!this.canRun(job, runningCounts.get(id) ?? 0, freeCapacities))
        job.leftWaitingSince = null;
      else job.leftWaitingSince ??= this.now();
      if (job.leftWaitingSince === null || this.now() - job.leftWaitingSince <= MAX_LEFT_WAITING_MS)
        continue;
      this.reportViolation('left_waiting', id);
      job.leftWaitingSince = null;
    }
  }

  /** One line for each team, class and largest job that was not served; see `findUnserved`. */
  unserved(): string[] {
    const wanted = [...this.jobs.values()].filter((j) => j.accepted && j.finalStatus !== 'aborted');
    return findUnserved(wanted, (j) => (j.firstStartedAt ?? this.now()) - this.runnableSince(j));
  }

  private countRunning(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const task of this.running.keys()) {
      const id = task.split('/')[0]!;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return counts;
  }

  private canRun(job: ObservedJob, running: number, freeCapacities: FreeCapacity[]): boolean {
    const { spec } = job;
    const waiting = spec.taskCount - job.doneTasks.size - running;
    if (!job.accepted || job.finalStatus !== null || waiting <= 0 || this.waitsForPredecessor(job))
      return false;
    // Placement of one task depends on the others, so one machine's free capacity proves nothing.
    if (spec.kind !== 'array' || spec.oneZone || spec.spread) return false;
    const left = (this.cpuLimits.get(spec.team) ?? 0) - (this.cpusByTeam().get(spec.team) ?? 0);
    if (left < spec.cpus) return false;
    return freeCapacities.some((free) => fits(spec, free));
  }

  private jobOf(task: string): ObservedJob | undefined {
    return this.jobs.get(task.split('/')[0]!);
  }

  private checkCancelled(task: string): void {
    const confirmedAt = this.jobOf(task)?.cancellationConfirmedAt ?? null;
    if (confirmedAt !== null && this.now() - confirmedAt > this.cancellationLimit)
      this.reportViolation('ran_cancelled', task);
  }

  private cpusByTeam(): Map<string, number> {
    const used = new Map<string, number>();
    for (const [task, machines] of this.running) {
      const spec = this.jobOf(task)?.spec;
      if (spec) used.set(spec.team, (used.get(spec.team) ?? 0) + spec.cpus * machines.size);
    }
    return used;
  }

  private checkQuota(): void {
    const used = this.cpusByTeam();
    for (const [team, cpus] of used) {
      this.maxCpusByTeam.set(team, Math.max(this.maxCpusByTeam.get(team) ?? 0, cpus));
      if (cpus > (this.cpuLimits.get(team) ?? 0)) this.reportViolation('quota', `${team} ${cpus}`);
    }
  }

  private reportViolation(rule: string, details: string): void {
    this.violations.push(`${rule}: ${details} at ${Math.round(this.now())}`);
  }
}
