/** One run of the soak: a site under the load of users and the faults of one seed. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Duration } from '@tealdock/wire';
import { between, mixedRandom } from '../simulation/seeded-random.js';
import { FaultInjector } from './fault-injector.js';
import { planFaults } from './fault-plan.js';
import { LoopbackSite } from './loopback-site.js';
import { SOAK_TIMES } from './site-times.js';
import { sleep, waitUntil } from './wait.js';
import { SoakUsers, type Load } from './users.js';

/** Options of a run. */
export interface SoakOptions {
  seed: number;
  machines: number;
  /** All faults begin within this time. */
  faultPeriod: Duration;
  /** Folder for a file with the plan, the problems and the controllers' logs; null for none. */
  logFolder: string | null;
}

/** Result of a run. */
export interface SoakResult {
  seed: number;
  machines: number;
  /** Broken rules, logged errors, unexpected ends of processes, and jobs that did not end. */
  problems: string[];
  faults: number;
  accepted: number;
  cancellationsConfirmed: number;
  startsChecked: number;
  answersChecked: number;
  /** For how long the stand-ins were blocked at most; over a second makes a run invalid. */
  longestStallMs: number;
  tookMs: number;
}

/** Time between the first election and the first submission. */
const STARTUP_SETTLE_MS: Duration = 4000;
/** All jobs must end within this time once all faults have ended. */
const JOBS_END_TIMEOUT_MS: Duration = 90_000;
const MAX_REPORTED_PROBLEM_COUNT = 20;
/**
 * The load grows with the machines, each of which has several CPUs (`MACHINE_TYPE`). The run times
 * are those of jobs that users let finish; tasks of the others would run for tens of seconds.
 */
const loadFor = (machines: number): Load => ({
  runTimesS: [1, 12],
  submissionsPerSecond: Math.min(8, 0.9 + machines / 40),
  maxTasksPerJob: Math.max(6, Math.round(machines / 6)),
});

/** Runs one seed. The fault schedule is reproducible; the timing of the processes is not. */
export async function runSeed(options: SoakOptions): Promise<SoakResult> {
  const { seed, machines, faultPeriod, logFolder } = options;
  const startedAt = performance.now();
  const random = mixedRandom(seed);
  const plan = planFaults(random, faultPeriod);
  const site = new LoopbackSite(machines, SOAK_TIMES, mixedRandom(seed + 1_000_000));
  const users = new SoakUsers(site, mixedRandom(seed + 2_000_000), loadFor(machines));
  const injector = new FaultInjector(site, (count) => users.cancelRunningJobs(count));
  try {
    await site.start();
    await waitUntil(() => site.leader() !== null, 20_000);
    await sleep(STARTUP_SETTLE_MS);
    users.start();
    await sleep(between(random, 1000, 3000));
    injector.start(plan);
    const faultsStartedAt = Math.round(performance.now());
    const lastFaultEnd = Math.max(...plan.map((fault) => fault.at + fault.lasts));
    await sleep(lastFaultEnd + SOAK_TIMES.lease);
    users.stopSubmitting();
    injector.stop();
    site.endFaults();
    const problems = await finishAndCollectProblems(site, users);
    const schedule = plan.map((fault) => `${faultsStartedAt} fault ${JSON.stringify(fault)}`);
    const lines = [...schedule, ...problems, ...site.logLines].join('\n');
    if (logFolder !== null) writeFileSync(join(logFolder, `seed-${seed}.log`), `${lines}\n`);
    return {
      seed,
      machines,
      problems: problems.slice(0, MAX_REPORTED_PROBLEM_COUNT),
      faults: plan.length,
      accepted: users.counts.accepted,
      cancellationsConfirmed: users.cancelledCount(),
      startsChecked: site.checker.startCount,
      answersChecked: users.counts.answers,
      longestStallMs: Math.round(site.longestStall),
      tookMs: Math.round(performance.now() - startedAt),
    };
  } finally {
    injector.stop();
    users.close();
    site.close();
  }
}

/**
 * Called after the last fault. Waits until all jobs have ended, and then for the cancellation
 * limit, after which no task may run. Polls each job at each controller, so that the checker can
 * compare the responses. Returns the problems of the whole run.
 */
async function finishAndCollectProblems(site: LoopbackSite, users: SoakUsers): Promise<string[]> {
  // The last request about a job may have been lost with a killed controller. Poll each job again:
  // the checker reports a violation if requests about a job stay unanswered.
  await users.pollAll();
  const allJobsEnded = await waitUntil(() => users.openJobs().length === 0, JOBS_END_TIMEOUT_MS);
  const unfinishedJobs = allJobsEnded
    ? []
    : [`jobs without an end: ${users.openJobs().join(', ')}`];
  await users.pollAll();
  await sleep(SOAK_TIMES.cancellationLimit);
  const runningTasks =
    site.workers.runningTaskCount > 0 && allJobsEnded
      ? [`${site.workers.runningTaskCount} tasks run on`]
      : [];
  return [
    ...new Set(site.checker.violations),
    ...site.controllerErrors,
    ...unfinishedJobs,
    ...runningTasks,
    ...site.checker.unserved(),
  ];
}
