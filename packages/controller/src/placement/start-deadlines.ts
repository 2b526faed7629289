/** Start deadlines: until when tasks have to start so that jobs meet their objectives. */
import type { Duration, Instant, Settings } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';

/**
 * Tasks of one job differ in run time, and a deadline is met only if the longest one ends in time.
 * That task is assumed to run for this multiple of the expected run time.
 */
const LONGEST_TASK_FACTOR = 1.4;

/** Inputs of a job's start deadlines, beside the job itself. */
export interface StartConditions {
  settings: Settings;
  /** Actual divided by estimated run time of the job's class. */
  runTimeRatio: number;
  /** Whether the job is within its team's guarantee. */
  isGuaranteed: boolean;
}

/**
 * Ids of the released jobs whose unfinished tasks fit into their team's guarantee together with
 * those of all the team's jobs that became startable earlier.
 */
export function jobsWithinGuarantee(jobs: Iterable<LiveJob>, settings: Settings): Set<string> {
  const within = new Set<string>();
  const unfinished = new Map<string, { cpus: number; gpus: number }>();
  const released = [...jobs].filter(({ dependencies }) => dependencies.isReleased);
  released.sort((a, b) => a.dependencies.startableAt - b.dependencies.startableAt);
  for (const { id, spec, progress } of released) {
    const team = settings.teams.find(({ name }) => name === spec.team);
    if (!team) continue;
    const sum = unfinished.get(team.name) ?? { cpus: 0, gpus: 0 };
    const taskCount = spec.taskCount - progress.doneTaskCount;
    sum.cpus += spec.cpus * taskCount;
    sum.gpus += spec.gpus * taskCount;
    unfinished.set(team.name, sum);
    if (sum.cpus <= team.cpus && sum.gpus <= team.gpus) within.add(id);
  }
  return within;
}

/** The earliest start deadline of the job, even if it has passed; Infinity if it has none. */
export function earliestStartDeadline(job: LiveJob, conditions: StartConditions): Instant {
  return Math.min(Infinity, ...startDeadlines(job, conditions));
}

/** The earliest start deadline of the job that has not passed; Infinity if there is none. */
export function nextStartDeadline(
  job: LiveJob,
  conditions: StartConditions,
  now: Instant,
): Instant {
  const attainable = startDeadlines(job, conditions).filter((deadline) => deadline >= now);
  return Math.min(Infinity, ...attainable);
}

/** One start deadline for each objective that applies to the job, and one for `finishBy`. */
function startDeadlines(job: LiveJob, conditions: StartConditions): Instant[] {
  const { startableAt } = job.dependencies;
  const runTime = job.spec.estimate * conditions.runTimeRatio * LONGEST_TASK_FACTOR;
  const delays = startDelays(job, conditions, runTime);
  return [...delays.map((delay) => startableAt + delay), job.finishBy - runTime];
}

/** How long after `startableAt` tasks may start, for each objective that applies to the job. */
function startDelays(
  { spec }: LiveJob,
  { settings, isGuaranteed }: StartConditions,
  runTime: Duration,
): Duration[] {
  return settings.objectives.flatMap(({ kind, jobClass, within }) => {
    if (within === null) return [];
    if (kind === 'guarantee') return isGuaranteed ? [within] : [];
    if (jobClass !== spec.jobClass) return [];
    if (kind === 'wait') return [within];
    return kind === 'finished' ? [within - runTime] : [];
  });
}
