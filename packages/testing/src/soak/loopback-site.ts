/** A whole site on loopback: controllers in processes of their own, all else as stand-ins. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { CallResult } from '@tealdock/controller';
import type { Duration, JobSpec } from '@tealdock/wire';
import { FakeCloud, MACHINE_TYPE } from '../fakes/fake-cloud.js';
import { FakeState } from '../fakes/fake-state.js';
import { RuleChecker } from '../checker/rule-checker.js';
import { ControllerProcess } from './controller-process.js';
import {
  NODES,
  listenPortsOf,
  operatorSettings,
  platformSettings,
  type NodeName,
  type NodePorts,
  type SiteTimes,
} from './site-times.js';
import { closeStandIn, serveStandIn, type Handler, type Listening } from './stand-in-server.js';
import { TcpLink } from './tcp-link.js';
import { SoakWorkers } from './worker-host.js';

const TICK_INTERVAL_MS: Duration = 25;
/** What part of all machines the team may use: its limit is reached. */
const TEAM_LIMIT_FRACTION = 0.8;

/** What befalls a node's calls to the state service. */
export interface StateFaults {
  /** Calls are not carried out, and get no answer. */
  cut: boolean;
  /** Only watches get no answer. */
  watchesCut: boolean;
  /** Calls are carried out, and some of their answers are lost. */
  answersLost: boolean;
  /** What an answer takes beyond the usual. */
  delay: Duration;
  /** Transactions get no answer and are carried out this much later; 0: none. */
  commitsLate: Duration;
}

/** No fault at all. */
const NO_STATE_FAULTS: StateFaults = {
  cut: false,
  watchesCut: false,
  answersLost: false,
  delay: 0,
  commitsLate: 0,
};

/** What a log line of a controller may say. */
interface LogLine {
  msg?: string;
  level?: number;
}

const ERROR_LEVEL = 50;

/** Everything that a soak runs against. */
export class LoopbackSite {
  readonly checker: RuleChecker;
  readonly state: FakeState;
  readonly cloud: FakeCloud;
  readonly workers: SoakWorkers;
  readonly jobs = new Map<string, JobSpec>();
  readonly processes = new Map<NodeName, ControllerProcess>();
  readonly httpPorts = new Map<string, number>();
  readonly stateFaults = new Map<string, StateFaults>();
  /** Errors that controllers logged, and processes that ended by themselves. */
  readonly faults: string[] = [];
  readonly logLines: string[] = [];
  /** The longest that this process, with all its stand-ins, stood still. */
  longestStall: Duration = 0;
  private readonly links = new Map<string, TcpLink>();
  private readonly servers: Listening[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'tealdock-soak-'));
  private timer: NodeJS.Timeout | null = null;
  private readonly removeFolder = () => rmSync(this.folder, { recursive: true, force: true });

  constructor(
    private readonly machines: number,
    private readonly times: SiteTimes,
    private readonly random: () => number,
  ) {
    process.once('exit', this.removeFolder);
    const now = () => performance.now();
    const limits = new Map([['team', this.cpuLimit]]);
    this.checker = new RuleChecker(now, limits, times.cancellationLimit);
    this.state = new FakeState(now, { requestsPerSecond: 250, writesPerSecond: 60 });
    this.state.limits = { maxValueBytes: 16 * 1024, maxTransactionWrites: 12 };
    this.cloud = new FakeCloud(now, machines, (id) => this.workers.drop(id));
    this.workers = new SoakWorkers({
      now,
      times,
      checker: this.checker,
      jobs: this.jobs,
      ports: this.httpPorts,
    });
  }

  private get cpuLimit(): number {
    return Math.floor(this.machines * MACHINE_TYPE.cpus * TEAM_LIMIT_FRACTION);
  }

  async start(): Promise<void> {
    const cloud = await this.serve((_method, path, body, done) =>
      done(this.cloud.handle(path, body)),
    );
    const operatorFile = join(this.folder, 'operator.ini');
    writeFileSync(operatorFile, operatorSettings(this.times));
    const ports = new Map<NodeName, NodePorts>();
    for (const name of NODES) ports.set(name, await this.portsOf(name));
    for (const [from, { links }] of ports)
      for (const [to, { peer }] of ports)
        if (to !== from) links.set(to, await this.link(from, to, peer));
    for (const [name, own] of ports) {
      const file = join(this.folder, `${name}.toml`);
      const limits = { cpus: this.cpuLimit, sockets: this.machines * 4 + 500 };
      writeFileSync(file, platformSettings(name, own, cloud, this.times, limits));
      this.httpPorts.set(name, own.http);
      this.processes.set(name, this.processOf(name, file, operatorFile));
    }
    for (let i = 0; i < this.machines; i++) this.cloud.add(i % 2 === 0 ? 'a' : 'b');
    for (const process of this.processes.values()) process.start();
    this.tick(performance.now());
  }

  /** Name of the controller whose key stands, if any does. */
  leader(): NodeName | null {
    const key = this.state.keys.get('tealdock/leader');
    const member = (key?.v as { member?: string } | undefined)?.member;
    return NODES.find((name) => name === member) ?? null;
  }

  linksOf(name: NodeName): TcpLink[] {
    return [...this.links]
      .filter(([pair]) => pair.split('>').includes(name))
      .map(([, link]) => link);
  }

  setStateFaults(name: NodeName, faults: Partial<StateFaults>): void {
    this.stateFaults.set(name, { ...(this.stateFaults.get(name) ?? NO_STATE_FAULTS), ...faults });
  }

  /** From now on nothing excuses a job that waits or is not known. */
  endFaults(): void {
    this.stateFaults.clear();
    this.state.refusedNodes.clear();
    if (this.state.down) this.state.restore();
    for (const link of this.links.values()) link.release();
    for (const process of this.processes.values()) {
      process.resume();
      process.start();
    }
    this.workers.endFaults();
    this.checker.noteFaultsEnded();
  }

  close(): void {
    if (this.timer) clearTimeout(this.timer);
    for (const process of this.processes.values()) process.kill();
    for (const link of this.links.values()) link.close();
    this.workers.close();
    this.servers.forEach(closeStandIn);
    process.off('exit', this.removeFolder);
    this.removeFolder();
  }

  private async portsOf(name: NodeName): Promise<NodePorts> {
    const state = await this.serve((method, path, body, done) =>
      this.callState(name, method, path, body, done),
    );
    return { ...listenPortsOf(name), state, links: new Map() };
  }

  private async link(from: NodeName, to: NodeName, peer: number): Promise<number> {
    const link = new TcpLink(peer);
    this.links.set(`${from}>${to}`, link);
    return link.listen();
  }

  private async serve(handle: Handler): Promise<number> {
    const listening = await serveStandIn(handle);
    this.servers.push(listening);
    return listening.port;
  }

  private processOf(name: NodeName, file: string, operatorFile: string): ControllerProcess {
    return new ControllerProcess(name, file, operatorFile, {
      line: (node, line) => this.noteLogLine(node, line),
      endedByItself: (node, code) =>
        this.faults.push(`${node} ended by itself: ${code ?? 'signal'}`),
    });
  }

  private noteLogLine(node: string, line: string): void {
    this.logLines.push(`${Math.round(performance.now())} ${node} ${line}`);
    if (!line.startsWith('{')) return void this.faults.push(`${node}: ${line}`);
    const { level = 0, msg = '' } = JSON.parse(line) as LogLine;
    if (level >= ERROR_LEVEL) this.faults.push(`${node}: ${msg}: ${line}`);
  }

  private callState(
    node: string,
    method: string,
    path: string,
    body: unknown,
    done: (result: CallResult) => void,
  ): void {
    const faults = this.stateFaults.get(node) ?? NO_STATE_FAULTS;
    const { answersLost, delay, commitsLate } = faults;
    if (faults.cut || (faults.watchesCut && path.startsWith('/changes'))) return;
    const ask = (answer: (result: CallResult) => void) =>
      this.state.handle(method, path, body, answer, node);
    if (commitsLate > 0 && path === '/commit') {
      return void setTimeout(() => ask(() => undefined), commitsLate);
    }
    if (answersLost && this.random() < 0.3) return ask(() => undefined);
    ask(delay > 0 ? (result) => void setTimeout(() => done(result), delay) : done);
  }

  /** Time goes on for all stand-ins; a worker's lease ends before the rules are checked. */
  private tick(planned: number): void {
    this.longestStall = Math.max(this.longestStall, performance.now() - planned);
    this.state.tick();
    for (const machine of this.cloud.machines.values())
      if (machine.readyAt <= performance.now()) void this.workers.start(machine);
    this.workers.tick();
    this.checker.check();
    const next = performance.now() + TICK_INTERVAL_MS;
    this.timer = setTimeout(() => this.tick(next), TICK_INTERVAL_MS);
  }
}
