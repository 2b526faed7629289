import type { Instant, Settings } from '@tealdock/wire';
import type { LiveJob } from './live-job.js';

/** Tasks of one job differ in length; a deadline is met by the longest. */
const LONGEST_TASK = 1.4;

/** Jobs that fit into their team's guarantee together with its earlier ones. */
export function guaranteedJobs(jobs: Iterable<LiveJob>, settings: Settings): Set<string> {
  const inside = new Set<string>();
  const used = new Map<string, { cpus: number; gpus: number }>();
  for (const job of [...jobs].sort((a, b) => a.submitted - b.submitted)) {
    const team = settings.teams.find((t) => t.name === job.spec.team);
    if (!team) continue;
    const sum = used.get(team.name) ?? { cpus: 0, gpus: 0 };
    const left = job.spec.taskCount - job.doneCount;
    sum.cpus += job.spec.cpus * left;
    sum.gpus += job.spec.gpus * left;
    used.set(team.name, sum);
    if (sum.cpus <= team.cpus && sum.gpus <= team.gpus) inside.add(job.id);
  }
  return inside;
}

/** When the job's tasks should have started, by its deadline and the aims for its class. */
export function latestStart(
  job: LiveJob,
  ratio: number,
  guaranteed: boolean,
  settings: Settings,
): Instant {
  const { deadline, estimate, jobClass } = job.spec;
  const waits = settings.objectives
    .filter((o) => o.within !== null)
    .filter(
      (o) =>
        (o.kind === 'wait' && o.jobClass === jobClass) || (o.kind === 'guarantee' && guaranteed),
    )
    .map((o) => o.within!);
  const run = estimate * ratio * LONGEST_TASK;
  return (
    job.submitted + Math.min(Infinity, deadline === null ? Infinity : deadline - run, ...waits)
  );
}
