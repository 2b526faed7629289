import type { JobSpec } from '@tealdock/wire';

interface Seen {
  spec: JobSpec;
  accepted: boolean;
  final: string | null;
  cancelTold: number | null;
  doneTasks: Set<string>;
}

/**
 * Watches the world from outside the controllers: what users were told, and
 * what runs where. It knows nothing of how the service works.
 */
export class RuleChecker {
  readonly broken: string[] = [];
  starts = 0;
  private readonly jobs = new Map<string, Seen>();
  private readonly most = new Map<string, number>();
  private readonly running = new Map<string, Set<string>>();

  constructor(
    private readonly now: () => number,
    private readonly cpuLimits: Map<string, number>,
    private readonly cancelWithin: number,
  ) {}

  submitted(spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    this.jobs.set(spec.id, {
      spec,
      accepted: false,
      final: null,
      cancelTold: null,
      doneTasks: new Set(),
    });
  }

  /** An answer to a submission, a poll or a cancellation, and what was known when it was asked. */
  told(
    id: string,
    status: number,
    state: string | undefined,
    askedAfterAccept: boolean,
    finalWhenAsked: string | null,
  ): void {
    const job = this.jobs.get(id);
    if (!job) {
      if (status === 200) this.break('invented', id);
      return;
    }
    if (askedAfterAccept && (status === 404 || status === 400 || status === 422)) {
      this.break('forgotten', `${id} ${status}`);
    }
    if (status !== 200 && status !== 201) return;
    job.accepted = true;
    if (state === undefined) return;
    if (finalWhenAsked !== null && finalWhenAsked !== state) {
      this.break('went_back', `${id} to ${state}`);
    }
    this.toldState(id, job, state);
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
    this.checkCancelled(task);
    this.checkQuota();
  }

  ended(task: string, machine: string, reason: string): void {
    const on = this.running.get(task);
    on?.delete(machine);
    if (on?.size === 0) this.running.delete(task);
    if (reason === 'done') this.jobOf(task)?.doneTasks.add(task);
  }

  check(): void {
    for (const [task, on] of this.running) if (on.size > 0) this.checkCancelled(task);
  }

  private jobOf(task: string): Seen | undefined {
    return this.jobs.get(task.split('/')[0]!);
  }

  private checkCancelled(task: string): void {
    const told = this.jobOf(task)?.cancelTold ?? null;
    if (told !== null && this.now() - told > this.cancelWithin) this.break('ran_cancelled', task);
  }

  private checkQuota(): void {
    const used = new Map<string, number>();
    for (const [task, on] of this.running) {
      const spec = this.jobOf(task)?.spec;
      if (spec) used.set(spec.team, (used.get(spec.team) ?? 0) + spec.cpus * on.size);
    }
    for (const [team, cpus] of used) {
      this.most.set(team, Math.max(this.most.get(team) ?? 0, cpus));
      if (cpus > (this.cpuLimits.get(team) ?? 0)) this.break('quota', `${team} ${cpus}`);
    }
  }

  private break(rule: string, what: string): void {
    this.broken.push(`${rule}: ${what} at ${Math.round(this.now())}`);
  }
}
