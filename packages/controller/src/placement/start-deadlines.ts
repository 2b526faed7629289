/** Until when jobs should start to meet their aims. */
import type { Instant, Settings } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';

/** Tasks of one job differ in length; a deadline is met by the longest. */
const LONGEST_TASK = 1.4;

/** Jobs that fit into their team's guarantee together with its earlier ones. */
export function guaranteedJobs(jobs: Iterable<LiveJob>, settings: Settings): Set<string> {
  const inside = new Set<string>();
  const used = new Map<string, { cpus: number; gpus: number }>();
  const released = [...jobs].filter((job) => job.dependencies.isReleased);
  for (const job of released.sort(
    (a, b) => a.dependencies.startableAt - b.dependencies.startableAt,
  )) {
    const team = settings.teams.find((t) => t.name === job.spec.team);
    if (!team) continue;
    const sum = used.get(team.name) ?? { cpus: 0, gpus: 0 };
    const left = job.spec.taskCount - job.progress.doneTaskCount;
    sum.cpus += job.spec.cpus * left;
    sum.gpus += job.spec.gpus * left;
    used.set(team.name, sum);
    if (sum.cpus <= team.cpus && sum.gpus <= team.gpus) inside.add(job.id);
  }
  return inside;
}

/** Until when the job's tasks should start: one instant for each aim and the deadline. */
function startAims(
  job: LiveJob,
  ratio: number,
  guaranteed: boolean,
  settings: Settings,
): Instant[] {
  const { estimate, jobClass } = job.spec;
  const run = estimate * ratio * LONGEST_TASK;
  const aims = settings.objectives.flatMap((o) => {
    if (o.within === null) return [];
    if (o.kind === 'guarantee') return guaranteed ? [o.within] : [];
    if (o.jobClass !== jobClass) return [];
    return o.kind === 'wait' ? [o.within] : o.kind === 'finished' ? [o.within - run] : [];
  });
  return [...aims.map((within) => job.dependencies.startableAt + within), job.finishBy - run];
}

/** When the job's tasks should have started, by its deadline and the aims for its class. */
export function latestStart(
  job: LiveJob,
  ratio: number,
  guaranteed: boolean,
  settings: Settings,
): Instant {
  return Math.min(Infinity, ...startAims(job, ratio, guaranteed, settings));
}

/** The first of those that can still be met; Infinity when none can. */
export function nextDue(
  job: LiveJob,
  ratio: number,
  guaranteed: boolean,
  settings: Settings,
  now: Instant,
): Instant {
  const left = startAims(job, ratio, guaranteed, settings).filter((aim) => aim >= now);
  return Math.min(Infinity, ...left);
}
