/** Whether enough jobs are done in each team and class, and among the largest of each class. */
import type { Duration } from '@tealdock/wire';
import { groupBy } from './group-by.js';
import type { ObservedJob } from './observed-job.js';

/** The largest jobs must start within this time after their submission or release. */
const MAX_LARGEST_JOB_WAIT_MS = 240_000;
/** The largest jobs of a class are this fraction of it, and at least one. */
const LARGEST_JOBS_FRACTION = 0.25;
const MIN_SERVED_FRACTION = 0.5;

/**
 * One line for each team, class and group of largest jobs of which too few are done, and for each
 * largest job that started too late; empty if there are none.
 */
export function findUnserved(
  jobs: ObservedJob[],
  waitOf: (job: ObservedJob) => Duration,
): string[] {
  const shortfalls: string[] = [];
  for (const [team, members] of groupBy(jobs, (j) => j.spec.team)) {
    shortfalls.push(...findShortfall(`team ${team}`, members));
  }
  for (const [name, members] of groupBy(jobs, (j) => j.spec.jobClass)) {
    const largest = largestOf(members);
    shortfalls.push(...findShortfall(`class ${name}`, members));
    shortfalls.push(...findShortfall(`largest of ${name}`, largest));
    for (const job of largest) {
      const waited = waitOf(job);
      if (waited > MAX_LARGEST_JOB_WAIT_MS) {
        shortfalls.push(`${job.spec.id} began after ${waited} ms`);
      }
    }
  }
  return shortfalls;
}

function largestOf(jobs: ObservedJob[]): ObservedJob[] {
  const bySize = [...jobs].sort((a, b) => b.spec.taskCount - a.spec.taskCount);
  return bySize.slice(0, Math.max(1, Math.floor(jobs.length * LARGEST_JOBS_FRACTION)));
}

function findShortfall(name: string, jobs: ObservedJob[]): string[] {
  const doneCount = jobs.filter((j) => j.doneTasks.size === j.spec.taskCount).length;
  const isServed = doneCount >= jobs.length * MIN_SERVED_FRACTION;
  return isServed ? [] : [`${name}: ${doneCount} of ${jobs.length} done`];
}
