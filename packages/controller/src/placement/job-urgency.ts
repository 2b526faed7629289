/** How urgent jobs are, by their objectives, their teams' guarantees and their waits. */
import type { Duration, Instant } from '@tealdock/wire';
import { priorityRank, type JobRank } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { MachineTypes } from './fleet-policy.js';
import { jobsWithinGuarantee, nextStartDeadline } from './start-deadlines.js';
import type { TeamCapacity } from './team-capacity.js';

/** A guarantee is reclaimed this long before a start deadline, or after a wait of this long. */
const RECLAIM_LEAD_MS = 30_000;
const RECLAIM_WAIT_MS = 60_000;
/** A job of which nothing has started for this long goes before all others. */
const STARVATION_TIMEOUT_MS = 120_000;
/** Jobs of this rank and above do not wait for a scale-out before they preempt others. */
const MIN_IMMEDIATE_PREEMPTION_RANK = 2;

/** What the order of jobs in a cycle depends on, and how long they wait before preemption. */
export class JobUrgency {
  private guaranteedJobs: ReadonlySet<string> = new Set();

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly catalog: MachineTypes,
    private readonly teams: TeamCapacity,
  ) {}

  /** Finds the jobs within their teams' guarantees; to be called once a cycle. */
  refreshGuaranteedJobs(): void {
    this.guaranteedJobs = jobsWithinGuarantee(this.term.jobs.values(), this.runtime.settings);
  }

  /** The next start deadline that the job can still meet; Infinity when there is none. */
  nextStartDeadline(job: LiveJob): Instant {
    return this.startDeadline(job, this.guaranteedJobs.has(job.id));
  }

  /** What the job is ordered by. */
  rankOf(job: LiveJob): JobRank {
    return {
      spec: job.spec,
      startableAt: job.dependencies.startableAt,
      nextStartDeadline: this.nextStartDeadline(job),
      isGuaranteed: this.teams.isBelowGuarantee(job),
      isStarving: this.isStarving(job),
    };
  }

  /** Whether none of the job's tasks has started for too long. */
  isStarving(job: LiveJob): boolean {
    const hasStarted = job.progress.doneTaskCount > 0 || job.bindings.size > 0;
    const waited = this.runtime.now - job.dependencies.startableAt;
    return !hasStarted && waited > STARVATION_TIMEOUT_MS;
  }

  /**
   * How long the job waits for a scale-out before it preempts others: as long as the fastest
   * boot, or not at all where that would be too late for it.
   */
  scaleOutWait(job: LiveJob): Duration {
    if (priorityRank(job.spec) >= MIN_IMMEDIATE_PREEMPTION_RANK) return 0;
    const bootTimes = this.catalog.types.map(({ boot }) => boot);
    const fastestBoot = bootTimes.length > 0 ? Math.min(...bootTimes) : 0;
    return this.nextStartDeadline(job) - this.runtime.now < fastestBoot ? 0 : fastestBoot;
  }

  /**
   * Whether the job may reclaim its team's guarantee from borrowers. Borrowed work that can't
   * save loses all it did, and most capacity comes free by itself: so only when an objective
   * would be missed otherwise.
   */
  mayReclaimGuarantee(job: LiveJob): boolean {
    const { now } = this.runtime;
    const untilDeadline = this.startDeadline(job, true) - now;
    const waited = now - (job.placement.starvedSince ?? now);
    return untilDeadline < RECLAIM_LEAD_MS || waited > RECLAIM_WAIT_MS;
  }

  /** Within what time tasks of the job's class should start; Infinity without an objective. */
  waitObjective(job: LiveJob): Duration {
    let shortest = Infinity;
    for (const { kind, jobClass, within } of this.runtime.settings.objectives) {
      if (kind !== 'wait' || jobClass !== job.spec.jobClass || within === null) continue;
      shortest = Math.min(shortest, within);
    }
    return shortest;
  }

  private startDeadline(job: LiveJob, isGuaranteed: boolean): Instant {
    const { settings, now } = this.runtime;
    const runTimeRatio = this.term.runTimeRatios.ratioOf(job.spec.jobClass);
    return nextStartDeadline(job, { settings, runTimeRatio, isGuaranteed }, now);
  }
}
