/** Until when jobs should start to meet their service-level objectives. */
import type { Duration, Instant, Settings } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';

/** Tasks of one job differ in length; a deadline is met by the longest. */
const LONGEST_TASK_FACTOR = 1.4;

/** What the start deadlines of a job depend on, beside the job. */
export interface StartConditions {
  settings: Settings;
  /** Measured run time of the job's class over its estimate. */
  runTimeRatio: number;
  /** Whether the job is within its team's guarantee. */
  isGuaranteed: boolean;
}

/** Ids of the jobs that fit into their team's guarantee together with its earlier ones. */
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

/** Until when the job's tasks should start, by its deadline and all objectives for its class. */
export function earliestStartDeadline(job: LiveJob, conditions: StartConditions): Instant {
  return Math.min(Infinity, ...startDeadlines(job, conditions));
}

/** The first start deadline that can still be met; Infinity when none can. */
export function nextStartDeadline(
  job: LiveJob,
  conditions: StartConditions,
  now: Instant,
): Instant {
  const attainable = startDeadlines(job, conditions).filter((deadline) => deadline >= now);
  return Math.min(Infinity, ...attainable);
}

/** One instant for each objective, and one for the deadline of the job. */
function startDeadlines(job: LiveJob, conditions: StartConditions): Instant[] {
  const { startableAt } = job.dependencies;
  const runTime = job.spec.estimate * conditions.runTimeRatio * LONGEST_TASK_FACTOR;
  const delays = startDelays(job, conditions, runTime);
  return [...delays.map((delay) => startableAt + delay), job.finishBy - runTime];
}

/** How long the job may wait by each objective that applies to it. */
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
