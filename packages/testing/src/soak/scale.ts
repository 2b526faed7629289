/** Measures a large fleet: `node packages/testing/dist/soak/scale.js 400 1400 4000`. */
import { existsSync, readFileSync } from 'node:fs';
import type { Duration } from '@tealdock/wire';
import { seededRandom } from '../simulation/seeded-random.js';
import { LoopbackSite } from './loopback-site.js';
import { DEPLOYED_TIMES, NODES, type NodeName } from './site-times.js';
import { SoakUsers } from './users.js';
import { sleep, waitUntil } from './wait.js';

const SAMPLE_INTERVAL_MS: Duration = 1000;
const LOAD_DURATION_MS: Duration = 45_000;
const TAKEOVER_DURATION_MS: Duration = 20_000;
const WAIT_TIMEOUT_MS: Duration = 180_000;
/** Workers stop waiting for a heartbeat's response after this time. */
const RESPONSE_TIMEOUT_MS: Duration = 4000;
const SUBMISSIONS_PER_SECOND = 2;
/** Mean number of tasks of a job, divided by the number of machines. */
const MEAN_JOB_TASKS_PER_MACHINE = 1 / 100;
/** Unit of the CPU times in `/proc/<pid>/stat`. */
const CPU_TICKS_PER_SECOND = 100;
const KB_PER_MB = 1024;

/** Resources that a process has used. */
interface ProcessUsage {
  /** User and system time since its start. */
  cpuSeconds: number;
  /** Largest resident set. */
  peakMb: number;
}

/** Reads the usage of a process from `/proc`; null if the process has ended. */
function readUsage(pid: number): ProcessUsage | null {
  if (!existsSync(`/proc/${pid}`)) return null;
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .replace(/^.*\) /s, '')
    .split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const peak = /VmHWM:\s+(\d+)/.exec(status)?.[1] ?? '0';
  return {
    cpuSeconds: (Number(fields[11]) + Number(fields[12])) / CPU_TICKS_PER_SECOND,
    peakMb: Math.round(Number(peak) / KB_PER_MB),
  };
}

function quantile(values: number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * fraction));
  return Math.round(sorted[index] ?? 0);
}

const formatQuantiles = (values: number[]): string =>
  `p50 ${quantile(values, 0.5)}, p99 ${quantile(values, 0.99)}, max ${quantile(values, 1)} ms ` +
  `(${values.length})`;

/** Runs a fleet under load and prints the resource usage and response times of its controllers. */
class ScaleRun {
  private readonly site: LoopbackSite;
  private readonly users: SoakUsers;

  constructor(private readonly machineCount: number) {
    this.site = new LoopbackSite(machineCount, DEPLOYED_TIMES, seededRandom(1));
    this.users = new SoakUsers(this.site, seededRandom(2), {
      runTimesS: [30, 90],
      submissionsPerSecond: SUBMISSIONS_PER_SECOND,
      maxTasksPerJob: Math.max(4, Math.round(machineCount * MEAN_JOB_TASKS_PER_MACHINE * 2)),
    });
  }

  async run(): Promise<void> {
    const startedAt = performance.now();
    await this.site.start();
    await waitUntil(
      () => this.site.workers.machineIds.length === this.machineCount,
      WAIT_TIMEOUT_MS,
    );
    await this.waitForReconciliation(startedAt);
    this.print(
      `first term: all machines up and accounted for after ${this.elapsedSince(startedAt)} ms`,
    );
    this.users.start();
    await this.measureLeaderUsage('start of load', LOAD_DURATION_MS);
    this.site.workers.responseTimes.length = 0;
    await this.measureLeaderUsage('steady load', LOAD_DURATION_MS);
    this.printResponseTimes('steady load');
    await this.measureTakeover('the leader ends', (leader) => [leader]);
    await this.measureTakeover('all controllers end', () => [...NODES]);
    this.printCancellationTimes();
    const { controllerErrors, checker, longestStall } = this.site;
    this.print(
      `rules broken: ${checker.violations.length}; errors: ${controllerErrors.length}; starts ${checker.startCount}`,
    );
    for (const problem of [...checker.violations, ...controllerErrors].slice(0, 5))
      this.print(problem);
    this.print(`the stand-ins stood still for ${Math.round(longestStall)} ms at the most`);
  }

  close(): void {
    this.users.close();
    this.site.close();
  }

  private print(text: string): void {
    process.stdout.write(`${this.machineCount} machines: ${text}\n`);
  }

  private elapsedSince(instant: number): number {
    return Math.round(performance.now() - instant);
  }

  /**
   * Waits until a leader logs, at `since` or later, that it has reconciled the machine registry.
   * Returns the duration in ms that it logs; null if there is no such line within the limit.
   */
  private async waitForReconciliation(since: number): Promise<number | null> {
    const findLogLine = () =>
      this.site.logLines.find(
        (line) =>
          Number(line.split(' ')[0]) >= since && line.includes('machine registry reconciled'),
      );
    await waitUntil(() => findLogLine() !== undefined, WAIT_TIMEOUT_MS);
    const took = /"tookMs":(\d+)/.exec(findLogLine() ?? '')?.[1];
    return took === undefined ? null : Number(took);
  }

  /** Kills controllers, starts them again 6 s later, and measures the next leader. */
  private async measureTakeover(
    event: string,
    nodesToKill: (leader: NodeName) => NodeName[],
  ): Promise<void> {
    const leader = this.site.leader() ?? NODES[0];
    const from = Math.round(performance.now());
    this.site.workers.responseTimes.length = 0;
    for (const node of nodesToKill(leader)) {
      this.site.processes.get(node)?.kill();
      setTimeout(() => this.site.processes.get(node)?.start(), 6000);
    }
    const took = await this.waitForReconciliation(from);
    this.print(
      `${event}: all accounted for ${took ?? 'never'} ms after the election, ${this.elapsedSince(from)} ms after the end`,
    );
    await this.measureLeaderUsage(`after ${event}`, TAKEOVER_DURATION_MS);
    this.printResponseTimes(event);
  }

  /** Measures the leader's CPU usage over `duration`: the mean and the busiest second. */
  private async measureLeaderUsage(phase: string, duration: Duration): Promise<void> {
    const leader = this.site.leader();
    const pid = leader === null ? undefined : this.site.processes.get(leader)?.pid;
    if (pid === undefined) {
      this.print(`${phase}: nobody leads`);
      return;
    }
    const coreUsages: number[] = [];
    let before = readUsage(pid);
    const end = performance.now() + duration;
    while (before && performance.now() < end) {
      const from = performance.now();
      await sleep(SAMPLE_INTERVAL_MS);
      const now = readUsage(pid);
      if (!now) {
        this.print(
          `${phase}: the leader's process ended: ${this.site.controllerErrors.join('; ')}`,
        );
        break;
      }
      coreUsages.push(((now.cpuSeconds - before.cpuSeconds) * 1000) / (performance.now() - from));
      before = now;
    }
    const mean = coreUsages.reduce((sum, usage) => sum + usage, 0) / coreUsages.length;
    const percent = (fraction: number) => `${Math.round(fraction * 100)}%`;
    this.print(
      `${phase}: leader takes ${percent(mean)} of a core, ${percent(Math.max(...coreUsages))} ` +
        `in its busiest second, ${before?.peakMb ?? 0} MB at the most; ${this.site.workers.runningTaskCount} tasks run`,
    );
  }

  private printResponseTimes(phase: string): void {
    const times = this.site.workers.responseTimes;
    const late = times.filter((time) => time > RESPONSE_TIMEOUT_MS).length;
    this.print(`${phase}: heartbeats answered after ${formatQuantiles(times)}, ${late} too late`);
  }

  private printCancellationTimes(): void {
    const times: number[] = [];
    for (const [job, confirmedAt] of this.users.cancelledAt) {
      const lastEndAt = this.site.workers.lastEndByJob.get(job);
      if (lastEndAt !== undefined && lastEndAt > confirmedAt) times.push(lastEndAt - confirmedAt);
    }
    this.print(
      `cancellations confirmed to gone: ${formatQuantiles(times)}, limit ${DEPLOYED_TIMES.cancellationLimit} ms`,
    );
  }
}

for (const machineCount of process.argv.slice(2).map(Number)) {
  const run = new ScaleRun(machineCount);
  try {
    await run.run();
  } finally {
    run.close();
  }
}
