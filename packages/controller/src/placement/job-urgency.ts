/** Urgency of jobs, by their objectives, their teams' guarantees and their waiting times. */
import type { Duration, Instant } from '@tealdock/wire';
import { priorityRank, type JobRank } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { MachineTypes } from './fleet-policy.js';
import { jobsWithinGuarantee, nextStartDeadline } from './start-deadlines.js';
import type { TeamCapacity } from './team-capacity.js';

/** A job may reclaim its team's guarantee from this long before its next start deadline. */
const RECLAIM_LEAD_MS = 30_000;
/** A job may reclaim its team's guarantee after finding no capacity for this long. */
const RECLAIM_WAIT_MS = 60_000;
/** A startable job without any start for this long is placed before all others. */
const STARVATION_TIMEOUT_MS = 120_000;
/** Jobs of this priority rank and above preempt others without waiting for a scale-out. */
const MIN_IMMEDIATE_PREEMPTION_RANK = 2;

/** Computes the rank of jobs in a cycle, and when they may preempt others. */
export class JobUrgency {
  private guaranteedJobs: ReadonlySet<string> = new Set();

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly catalog: MachineTypes,
    private readonly teams: TeamCapacity,
  ) {}

  /** Recomputes which jobs are within their teams' guarantees; to be called once per cycle. */
  refreshGuaranteedJobs(): void {
    this.guaranteedJobs = jobsWithinGuarantee(this.term.jobs.values(), this.runtime.settings);
  }

  /** The job's earliest start deadline that has not passed; Infinity if there is none. */
  nextStartDeadline(job: LiveJob): Instant {
    return this.startDeadline(job, this.guaranteedJobs.has(job.id));
  }

  /** The rank of the job, by which `compareJobs` orders jobs. */
  rankOf(job: LiveJob): JobRank {
    return {
      spec: job.spec,
      startableAt: job.dependencies.startableAt,
      nextStartDeadline: this.nextStartDeadline(job),
      isGuaranteed: this.teams.isBelowGuarantee(job),
      isStarving: this.isStarving(job),
    };
  }

  /** Whether the job has been startable for too long with no task done or bound. */
  isStarving(job: LiveJob): boolean {
    const hasStarted = job.progress.doneTaskCount > 0 || job.bindings.size > 0;
    const waited = this.runtime.now - job.dependencies.startableAt;
    return !hasStarted && waited > STARVATION_TIMEOUT_MS;
  }

  /**
   * How long the job waits for a scale-out before it preempts others: the shortest boot time of
   * all machine types, or 0 if its priority is high or its next start deadline comes sooner.
   */
  scaleOutWait(job: LiveJob): Duration {
    if (priorityRank(job.spec) >= MIN_IMMEDIATE_PREEMPTION_RANK) return 0;
    const bootTimes = this.catalog.types.map(({ boot }) => boot);
    const fastestBoot = bootTimes.length > 0 ? Math.min(...bootTimes) : 0;
    return this.nextStartDeadline(job) - this.runtime.now < fastestBoot ? 0 : fastestBoot;
  }

  /**
   * Whether the job may reclaim its team's guarantee: preempt tasks of teams that use more than
   * their own. A preempted task that can't save its state loses all its work, and most capacity
   * becomes free without preemption. So this is allowed only shortly before a start deadline or
   * after a long wait.
   */
  mayReclaimGuarantee(job: LiveJob): boolean {
    const { now } = this.runtime;
    const untilDeadline = this.startDeadline(job, true) - now;
    const waited = now - (job.placement.unplacedSince ?? now);
    return untilDeadline < RECLAIM_LEAD_MS || waited > RECLAIM_WAIT_MS;
  }

  /** The shortest `wait` objective for the job's class; Infinity if there is none. */
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
