/** One run of the soak: a site, users, and the faults of one seed. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Duration } from '@tealdock/wire';
import { between, mixedRandom } from '../simulation/seeded-random.js';
import { FaultInjector } from './fault-injector.js';
import { planFaults } from './fault-plan.js';
import { LoopbackSite } from './loopback-site.js';
import { TIMES } from './site-times.js';
import { pause, until } from './wait.js';
import { SoakUsers, type Load } from './users.js';

/** What a run is made of. */
export interface SoakOptions {
  seed: number;
  machines: number;
  /** Faults begin within this time. */
  faultPeriod: Duration;
  /** Where the controllers' log goes; nowhere if null. */
  logFolder: string | null;
}

/** What came of a run. */
export interface SoakResult {
  seed: number;
  machines: number;
  /** Rules broken, errors logged, processes that ended by themselves, and jobs without an end. */
  problems: string[];
  faults: number;
  accepted: number;
  cancellationsConfirmed: number;
  startsChecked: number;
  answersChecked: number;
  /** The longest that the stand-ins stood still, in ms: more than a second spoils a run. */
  longestStallMs: number;
  tookMs: number;
}

const SETTLE_MS: Duration = 4000;
/** All jobs have an end within this time, once all faults are over. */
const ALL_END_LIMIT_MS: Duration = 90_000;
const PROBLEM_LIMIT = 20;
/** A machine of the fake has so many CPUs, and most tasks run for tens of seconds. */
const loadFor = (machines: number): Load => ({
  runTimes: [1, 12],
  submissions: Math.min(8, 0.9 + machines / 40),
  tasks: Math.max(6, Math.round(machines / 6)),
});

/** Plays one seed. Its schedule of faults repeats; what processes do between them may differ. */
export async function playSeed(options: SoakOptions): Promise<SoakResult> {
  const { seed, machines, faultPeriod, logFolder } = options;
  const began = performance.now();
  const random = mixedRandom(seed);
  const plan = planFaults(random, faultPeriod);
  const site = new LoopbackSite(machines, TIMES, mixedRandom(seed + 1_000_000));
  const users = new SoakUsers(site, mixedRandom(seed + 2_000_000), loadFor(machines));
  const injector = new FaultInjector(site, (count) => users.cancelSome(count));
  try {
    await site.start();
    await until(() => site.leader() !== null, 20_000);
    await pause(SETTLE_MS);
    users.start();
    await pause(between(random, 1000, 3000));
    injector.start(plan);
    const faultsBegan = Math.round(performance.now());
    const last = Math.max(...plan.map((fault) => fault.at + fault.lasts));
    await pause(last + TIMES.lease);
    users.stopSubmitting();
    injector.stop();
    site.endFaults();
    const problems = await endsWell(site, users);
    const schedule = plan.map((fault) => `${faultsBegan} fault ${JSON.stringify(fault)}`);
    const lines = [...schedule, ...problems, ...site.logLines].join('\n');
    if (logFolder !== null) writeFileSync(join(logFolder, `seed-${seed}.log`), `${lines}\n`);
    return {
      seed,
      machines,
      problems: problems.slice(0, PROBLEM_LIMIT),
      faults: plan.length,
      accepted: users.counts.accepted,
      cancellationsConfirmed: users.cancelledCount(),
      startsChecked: site.checker.startCount,
      answersChecked: users.counts.answers,
      longestStallMs: Math.round(site.longestStall),
      tookMs: Math.round(performance.now() - began),
    };
  } finally {
    injector.stop();
    users.close();
    site.close();
  }
}

/** All faults are over: each job ends, every node says the same of it, and nothing runs on. */
async function endsWell(site: LoopbackSite, users: SoakUsers): Promise<string[]> {
  // A question that a dead process took with it must not be the last one about its job.
  await users.pollAll();
  const ended = await until(() => users.openJobs().length === 0, ALL_END_LIMIT_MS);
  const open = ended ? [] : [`jobs without an end: ${users.openJobs().join(', ')}`];
  await users.pollAll();
  await pause(TIMES.cancellationLimit);
  const left = site.workers.running > 0 && ended ? [`${site.workers.running} tasks run on`] : [];
  return [
    ...new Set(site.checker.violations),
    ...site.faults,
    ...open,
    ...left,
    ...site.checker.unserved(),
  ];
}
