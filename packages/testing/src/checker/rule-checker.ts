/** The protocol's rules, checked from outside. */
import { predecessorsOf, type JobSpec } from '@tealdock/wire';
import { groupBy } from './group-by.js';
import { fitsInto, type MachineRoom } from './free-capacity.js';

/** No question about a job is answered for this long: it is forgotten. */
const UNANSWERED = 75_000;
/** A job waits for this long although a machine that fits has room. */
const LEFT_WAITING = 90_000;
/** The largest jobs begin within this time. */
const LARGEST_BEGIN = 240_000;
/** The largest of a class are this part of it, and one at the least. */
const LARGEST_PART = 0.25;
const SERVED_PART = 0.5;
/** Statuses that take a job in, and those that deny it. */
const ACCEPTANCES = [200, 201];
const REFUSALS = [400, 404, 422];

interface Seen {
  spec: JobSpec;
  submitted: number;
  begun: number | null;
  /** First question since the last answer. */
  unanswered: number | null;
  /** Since when there has been room for it without a break. */
  leftWaiting: number | null;
  accepted: boolean;
  final: string | null;
  cancelTold: number | null;
  /** When its last task was done. */
  doneAt: number | null;
  doneTasks: Set<string>;
}

/**
 * Watches the cluster from outside the controllers: what users were told, and
 * what runs where. It knows nothing of how the service works.
 */
export class RuleChecker {
  readonly broken: string[] = [];
  starts = 0;
  /** Starts after a confirmed cancellation: the start may have been on its way. */
  startsAfterCancel = 0;
  /** Since when all faults are over. */
  private faultFreeSince: number | null = null;
  private readonly wrong = new Set<string>();
  private readonly jobs = new Map<string, Seen>();
  private readonly most = new Map<string, number>();
  private readonly running = new Map<string, Set<string>>();

  constructor(
    private readonly now: () => number,
    private readonly cpuLimits: Map<string, number>,
    private readonly cancellationLimit: number,
  ) {}

  submitted(spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    this.jobs.set(spec.id, {
      spec,
      submitted: this.now(),
      begun: null,
      unanswered: null,
      leftWaiting: null,
      accepted: false,
      final: null,
      cancelTold: null,
      doneAt: null,
      doneTasks: new Set(),
    });
  }

  /** A submission under this id can't run or lacks a field. */
  mustRefuse(id: string): void {
    if (!this.jobs.has(id)) this.wrong.add(id);
  }

  noteFaultsEnded(): void {
    this.faultFreeSince = this.now();
  }

  /**
   * A user puts a question about a job to some node: a submission, a poll or a cancellation. Its
   * answer is judged by what was known when it was asked.
   */
  question(id: string): (status: number, body: unknown) => void {
    const [known, final] = [this.accepted(id), this.final(id)];
    this.asked(id);
    return (status, body) => {
      const state = (body as { status?: string } | null)?.status;
      this.told(id, status, state, known, final);
    };
  }

  asked(id: string): void {
    const job = this.jobs.get(id);
    if (job) job.unanswered ??= this.now();
  }

  told(
    id: string,
    status: number,
    state: string | undefined,
    askedAfterAccept: boolean,
    finalWhenAsked: string | null,
  ): void {
    const job = this.jobs.get(id);
    if (!job) return this.toldOfUnknown(id, status);
    if (askedAfterAccept && REFUSALS.includes(status)) this.break('forgotten', `${id} ${status}`);
    if (!ACCEPTANCES.includes(status)) return;
    job.accepted = true;
    job.unanswered = null;
    if (state === undefined) return;
    if (finalWhenAsked !== null && finalWhenAsked !== state) {
      this.break('went_back', `${id} to ${state}`);
    }
    this.toldState(id, job, state);
  }

  private toldOfUnknown(id: string, status: number): void {
    if (this.wrong.has(id) && ACCEPTANCES.includes(status)) this.break('accepted', id);
    else if (status === 200) this.break('invented', id);
  }

  accepted(id: string): boolean {
    return this.jobs.get(id)?.accepted ?? false;
  }

  final(id: string): string | null {
    return this.jobs.get(id)?.final ?? null;
  }

  doneTasks(id: string): ReadonlySet<string> {
    return this.jobs.get(id)?.doneTasks ?? new Set();
  }

  /** The most CPUs that a team used at any start. */
  mostUsed(team: string): number {
    return this.most.get(team) ?? 0;
  }

  private toldState(id: string, job: Seen, state: string): void {
    if (state === 'done' && job.doneTasks.size < job.spec.taskCount) this.break('not_done', id);
    if (state === 'queued' || state === 'running') {
      const late = this.now() - this.predecessorCancelledSince(job) > this.cancellationLimit;
      if (late) this.break('orphaned', `${id} ${state}`);
    }
    if (state !== 'done' && state !== 'aborted') return;
    if (job.final !== null && job.final !== state) this.break('went_back', `${id} to ${state}`);
    job.final = state;
    if (state === 'aborted') job.cancelTold ??= this.now();
  }

  started(task: string, machine: string): void {
    this.starts++;
    const on = this.running.get(task) ?? new Set();
    if ([...on].some((m) => m !== machine)) this.break('ran_twice', task);
    on.add(machine);
    this.running.set(task, on);
    const job = this.jobOf(task);
    if (job) job.begun ??= this.now();
    if (job && this.waits(job)) this.break('too_early', task);
    if (job && job.cancelTold !== null) this.startsAfterCancel++;
    this.checkCancelled(task);
    this.checkQuota();
  }

  ended(task: string, machine: string, reason: string): void {
    const on = this.running.get(task);
    on?.delete(machine);
    if (on?.size === 0) this.running.delete(task);
    const job = this.jobOf(task);
    if (reason !== 'done' || !job) return;
    job.doneTasks.add(task);
    if (job.doneTasks.size === job.spec.taskCount) job.doneAt ??= this.now();
  }

  private before(job: Seen): Seen[] {
    return predecessorsOf(job.spec).flatMap((p) => this.jobs.get(p) ?? []);
  }

  /** Some job that it needs is not done. */
  private waits(job: Seen): boolean {
    return this.before(job).some((p) => p.doneAt === null);
  }

  /** Since when it may run. */
  private since(job: Seen): number {
    return Math.max(job.submitted, ...this.before(job).map((p) => p.doneAt ?? this.now()));
  }

  /** When a user was first told that a job before it, however far, is cancelled. */
  private predecessorCancelledSince(job: Seen, seen = new Set<Seen>()): number {
    let first = Infinity;
    for (const p of this.before(job)) {
      if (seen.has(p)) continue;
      seen.add(p);
      first = Math.min(first, p.cancelTold ?? Infinity, this.predecessorCancelledSince(p, seen));
    }
    return first;
  }

  check(): void {
    for (const [task, on] of this.running) if (on.size > 0) this.checkCancelled(task);
    if (this.faultFreeSince === null) return;
    for (const [id, job] of this.jobs) {
      const since = Math.max(job.unanswered ?? Infinity, this.faultFreeSince);
      if (!job.accepted || this.now() - since <= UNANSWERED) continue;
      this.break('forgotten', `${id}: no answer`);
      job.unanswered = null;
    }
  }

  /** With all faults over, no job waits where a machine that fits has had room all along. */
  checkRooms(rooms: MachineRoom[]): void {
    if (this.faultFreeSince === null) return;
    const onMachines = this.countRunning();
    for (const [id, job] of this.jobs) {
      if (!this.couldRun(job, onMachines.get(id) ?? 0, rooms)) job.leftWaiting = null;
      else job.leftWaiting ??= this.now();
      if (job.leftWaiting === null || this.now() - job.leftWaiting <= LEFT_WAITING) continue;
      this.break('left_waiting', id);
      job.leftWaiting = null;
    }
  }

  /** What of a day falls short: classes, teams and largest jobs of which less than half is done. */
  unserved(): string[] {
    const wanted = [...this.jobs.values()].filter((j) => j.accepted && j.final !== 'aborted');
    const faults: string[] = [];
    const check = (name: string, jobs: Seen[]) => {
      const done = jobs.filter((j) => j.doneTasks.size === j.spec.taskCount).length;
      if (done < jobs.length * SERVED_PART) faults.push(`${name}: ${done} of ${jobs.length} done`);
    };
    for (const [team, jobs] of groupBy(wanted, (j) => j.spec.team)) check(`team ${team}`, jobs);
    for (const [name, jobs] of groupBy(wanted, (j) => j.spec.jobClass)) {
      check(`class ${name}`, jobs);
      const bySize = [...jobs].sort((a, b) => b.spec.taskCount - a.spec.taskCount);
      const largest = bySize.slice(0, Math.max(1, Math.floor(jobs.length * LARGEST_PART)));
      check(`largest of ${name}`, largest);
      for (const j of largest) {
        const waited = (j.begun ?? this.now()) - this.since(j);
        if (waited > LARGEST_BEGIN) faults.push(`${j.spec.id} began after ${waited} ms`);
      }
    }
    return faults;
  }

  private countRunning(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const task of this.running.keys()) {
      const id = task.split('/')[0]!;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return counts;
  }

  private couldRun(job: Seen, running: number, rooms: MachineRoom[]): boolean {
    const { spec } = job;
    const waiting = spec.taskCount - job.doneTasks.size - running;
    if (!job.accepted || job.final !== null || waiting <= 0 || this.waits(job)) return false;
    // Where its tasks may be depends on each other: a room says nothing by itself.
    if (spec.kind !== 'array' || spec.oneZone || spec.spread) return false;
    const left = (this.cpuLimits.get(spec.team) ?? 0) - (this.teamUse().get(spec.team) ?? 0);
    if (left < spec.cpus) return false;
    return rooms.some((room) => fitsInto(spec, room));
  }

  private jobOf(task: string): Seen | undefined {
    return this.jobs.get(task.split('/')[0]!);
  }

  private checkCancelled(task: string): void {
    const told = this.jobOf(task)?.cancelTold ?? null;
    if (told !== null && this.now() - told > this.cancellationLimit)
      this.break('ran_cancelled', task);
  }

  private teamUse(): Map<string, number> {
    const used = new Map<string, number>();
    for (const [task, on] of this.running) {
      const spec = this.jobOf(task)?.spec;
      if (spec) used.set(spec.team, (used.get(spec.team) ?? 0) + spec.cpus * on.size);
    }
    return used;
  }

  private checkQuota(): void {
    const used = this.teamUse();
    for (const [team, cpus] of used) {
      this.most.set(team, Math.max(this.most.get(team) ?? 0, cpus));
      if (cpus > (this.cpuLimits.get(team) ?? 0)) this.break('quota', `${team} ${cpus}`);
    }
  }

  private break(rule: string, what: string): void {
    this.broken.push(`${rule}: ${what} at ${Math.round(this.now())}`);
  }
}
