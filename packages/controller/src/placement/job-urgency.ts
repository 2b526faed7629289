/** How urgent jobs are, by their aims, guarantees and waits. */
import type { Instant, MachineType } from '@tealdock/wire';
import { priorityRank, type JobRank } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import { guaranteedJobs, nextDue } from './start-deadlines.js';
import type { TeamCapacity } from './team-capacity.js';

/** How long before an aim, or after how long without room, a guarantee is reclaimed. */
const RECLAIM_AHEAD = 30_000;
const RECLAIM_PATIENCE = 60_000;
/** A job of which nothing has begun for this long goes before all others. */
const STARVING = 120_000;
/** Jobs of this rank and above do not wait for rented machines before they preempt others. */
const IMPATIENT_RANK = 2;

/** What the order of jobs in a cycle depends on. */
export class JobUrgency {
  /** Jobs within their team's guarantee. */
  private inside: ReadonlySet<string> = new Set();

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly types: () => MachineType[],
    private readonly teams: TeamCapacity,
  ) {}

  /** Finds the jobs within their teams' guarantees anew. */
  update(): void {
    this.inside = guaranteedJobs(this.term.jobs.values(), this.runtime.settings);
  }

  /** When the next aim that the job can still meet is due. */
  due(job: LiveJob): Instant {
    return this.dueOf(job, this.inside.has(job.id));
  }

  rankOf(job: LiveJob): JobRank {
    return {
      spec: job.spec,
      submitted: job.dependencies.startableAt,
      latestStart: this.due(job),
      guaranteed: this.teams.belowGuarantee(job),
      starving: this.starves(job),
    };
  }

  starves(job: LiveJob): boolean {
    const begun = job.progress.doneTaskCount > 0 || job.bindings.size > 0;
    return !begun && this.runtime.now - job.dependencies.startableAt > STARVING;
  }

  private dueOf(job: LiveJob, guaranteed: boolean): Instant {
    const ratio = this.term.runTimeRatios.ratioOf(job.spec.jobClass);
    return nextDue(job, ratio, guaranteed, this.runtime.settings, this.runtime.now);
  }

  /** Rented room is preferred to another task's while it can come in time. */
  patience(job: LiveJob): number {
    if (priorityRank(job.spec) >= IMPATIENT_RANK) return 0;
    const boots = this.types().map((t) => t.boot);
    const boot = boots.length > 0 ? Math.min(...boots) : 0;
    return this.due(job) - this.runtime.now < boot ? 0 : boot;
  }

  /**
   * Borrowed work that can't save loses all it did, and most room comes free by
   * itself: a guarantee is reclaimed only when an aim would be missed otherwise.
   */
  reclaims(job: LiveJob): boolean {
    const due = this.dueOf(job, true);
    const starved = this.runtime.now - (job.placement.starvedSince ?? this.runtime.now);
    return due - this.runtime.now < RECLAIM_AHEAD || starved > RECLAIM_PATIENCE;
  }

  /** Within what time tasks of the class should start. */
  aimFor(job: LiveJob): number {
    let least = Infinity;
    for (const o of this.runtime.settings.objectives) {
      const own = o.kind === 'wait' && o.jobClass === job.spec.jobClass;
      if (own && o.within !== null) least = Math.min(least, o.within);
    }
    return least;
  }
}
