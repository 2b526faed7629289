/** Measures a large fleet: `node packages/testing/dist/soak/scale.js 400 1400 4000`. */
import { existsSync, readFileSync } from 'node:fs';
import type { Duration } from '@tealdock/wire';
import { seededRandom } from '../simulation/seeded-random.js';
import { LoopbackSite } from './loopback-site.js';
import { DEPLOYED_TIMES, NODES, type NodeName } from './site-times.js';
import { SoakUsers } from './users.js';
import { pause, until } from './wait.js';

const SAMPLE_INTERVAL_MS: Duration = 1000;
const LOAD_DURATION_MS: Duration = 45_000;
const TAKEOVER_DURATION_MS: Duration = 20_000;
const WAIT_LIMIT_MS: Duration = 180_000;
/** Workers give an answer up after this long. */
const RESPONSE_TIMEOUT_MS: Duration = 4000;
const SUBMISSIONS_PER_SECOND = 2;
/** Tasks of a job, as a part of the machines. */
const TASKS_PER_MACHINE = 1 / 100;
const CPU_TICKS_PER_SECOND = 100;
const KB_PER_MB = 1024;

/** What a process used of its host. */
interface Usage {
  cpuSeconds: number;
  peakMb: number;
}

/** By the operating system's own account of the process; null once it has ended. */
function usageOf(pid: number): Usage | null {
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

function quantile(values: number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * part));
  return Math.round(sorted[at] ?? 0);
}

const spread = (values: number[]): string =>
  `p50 ${quantile(values, 0.5)}, p99 ${quantile(values, 0.99)}, max ${quantile(values, 1)} ms ` +
  `(${values.length})`;

/** A fleet under load, and what its controllers take. */
class ScaleRun {
  private readonly site: LoopbackSite;
  private readonly users: SoakUsers;

  constructor(private readonly machines: number) {
    this.site = new LoopbackSite(machines, DEPLOYED_TIMES, seededRandom(1));
    this.users = new SoakUsers(this.site, seededRandom(2), {
      runTimes: [30, 90],
      submissions: SUBMISSIONS_PER_SECOND,
      tasks: Math.max(4, Math.round(machines * TASKS_PER_MACHINE * 2)),
    });
  }

  async play(): Promise<void> {
    const began = performance.now();
    await this.site.start();
    await until(() => this.site.workers.names.length === this.machines, WAIT_LIMIT_MS);
    await this.accounted(began);
    this.say(`first term: all machines up and accounted for after ${this.since(began)} ms`);
    this.users.start();
    await this.leaderUsage('start of load', LOAD_DURATION_MS);
    this.site.workers.responseTimes.length = 0;
    await this.leaderUsage('steady load', LOAD_DURATION_MS);
    this.answers('steady load');
    await this.takeOver('the leader ends', (leader) => [leader]);
    await this.takeOver('all controllers end', () => [...NODES]);
    this.cancellations();
    const { faults, checker, longestStall } = this.site;
    this.say(
      `rules broken: ${checker.violations.length}; errors: ${faults.length}; starts ${checker.startCount}`,
    );
    for (const problem of [...checker.violations, ...faults].slice(0, 5)) this.say(problem);
    this.say(`the stand-ins stood still for ${Math.round(longestStall)} ms at the most`);
  }

  close(): void {
    this.users.close();
    this.site.close();
  }

  private say(text: string): void {
    process.stdout.write(`${this.machines} machines: ${text}\n`);
  }

  private since(instant: number): number {
    return Math.round(performance.now() - instant);
  }

  /** Waits for the log mark of a term that knows of all registered machines. */
  private async accounted(from: number): Promise<number | null> {
    const mark = () =>
      this.site.logLines.find(
        (line) =>
          Number(line.split(' ')[0]) >= from && line.includes('machine registry reconciled'),
      );
    await until(() => mark() !== undefined, WAIT_LIMIT_MS);
    const took = /"tookMs":(\d+)/.exec(mark() ?? '')?.[1];
    return took === undefined ? null : Number(took);
  }

  private async takeOver(what: string, ended: (leader: NodeName) => NodeName[]): Promise<void> {
    const leader = this.site.leader() ?? NODES[0];
    const from = Math.round(performance.now());
    this.site.workers.responseTimes.length = 0;
    for (const node of ended(leader)) {
      this.site.processes.get(node)?.kill();
      setTimeout(() => this.site.processes.get(node)?.start(), 6000);
    }
    const took = await this.accounted(from);
    this.say(
      `${what}: all accounted for ${took ?? 'never'} ms after the election, ${this.since(from)} ms after the end`,
    );
    await this.leaderUsage(`after ${what}`, TAKEOVER_DURATION_MS);
    this.answers(what);
  }

  /** Processor time of the leader over a time, on average and in its busiest second. */
  private async leaderUsage(when: string, lasts: Duration): Promise<void> {
    const leader = this.site.leader();
    const pid = leader === null ? undefined : this.site.processes.get(leader)?.pid;
    if (pid === undefined) {
      this.say(`${when}: nobody leads`);
      return;
    }
    const perSecond: number[] = [];
    let before = usageOf(pid);
    const end = performance.now() + lasts;
    while (before && performance.now() < end) {
      const from = performance.now();
      await pause(SAMPLE_INTERVAL_MS);
      const now = usageOf(pid);
      if (!now) {
        this.say(`${when}: the leader's process ended: ${this.site.faults.join('; ')}`);
        break;
      }
      perSecond.push(((now.cpuSeconds - before.cpuSeconds) * 1000) / (performance.now() - from));
      before = now;
    }
    const mean = perSecond.reduce((sum, part) => sum + part, 0) / perSecond.length;
    const percent = (part: number) => `${Math.round(part * 100)}%`;
    this.say(
      `${when}: leader takes ${percent(mean)} of a core, ${percent(Math.max(...perSecond))} ` +
        `in its busiest second, ${before?.peakMb ?? 0} MB at the most; ${this.site.workers.running} tasks run`,
    );
  }

  private answers(when: string): void {
    const times = this.site.workers.responseTimes;
    const late = times.filter((time) => time > RESPONSE_TIMEOUT_MS).length;
    this.say(`${when}: heartbeats answered after ${spread(times)}, ${late} too late`);
  }

  private cancellations(): void {
    const times: number[] = [];
    for (const [job, at] of this.users.cancelledAt) {
      const gone = this.site.workers.lastEndByJob.get(job);
      if (gone !== undefined && gone > at) times.push(gone - at);
    }
    this.say(
      `cancellations confirmed to gone: ${spread(times)}, limit ${DEPLOYED_TIMES.cancellationLimit} ms`,
    );
  }
}

for (const machines of process.argv.slice(2).map(Number)) {
  const run = new ScaleRun(machines);
  try {
    await run.play();
  } finally {
    run.close();
  }
}
