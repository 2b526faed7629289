/** A complete site on loopback: controllers in child processes, and stand-ins for all else. */
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
import {
  closeStandIn,
  serveStandIn,
  type RequestHandler,
  type StandInServer,
} from './stand-in-server.js';
import { TcpLink } from './tcp-link.js';
import { SoakWorkers } from './worker-host.js';

const TICK_INTERVAL_MS: Duration = 25;
/** The team's limit, as a fraction of all CPUs: low enough to be reached. */
const TEAM_CPU_LIMIT_FRACTION = 0.8;

/** Faults of a controller's calls to the state service. */
export interface StateFaults {
  /** Calls are not executed and get no response. */
  callsDropped: boolean;
  /** Watches get no response; other calls are not affected. */
  watchesDropped: boolean;
  /** Calls are executed, but some responses are lost. */
  responsesLost: boolean;
  /** Additional delay of each response. */
  responseDelay: Duration;
  /** Transactions get no response and are executed after this delay; 0 for no fault. */
  commitDelay: Duration;
}

const NO_FAULTS: StateFaults = {
  callsDropped: false,
  watchesDropped: false,
  responsesLost: false,
  responseDelay: 0,
  commitDelay: 0,
};

/** The fields of a controller's log line that are read here. */
interface LogLine {
  msg?: string;
  level?: number;
}

/** Pino's number for the level `error`. */
const ERROR_LOG_LEVEL = 50;

/** The site of a soak or scale run. */
export class LoopbackSite {
  readonly checker: RuleChecker;
  readonly state: FakeState;
  readonly cloud: FakeCloud;
  readonly workers: SoakWorkers;
  /** All submitted jobs by id. */
  readonly jobSpecs = new Map<string, JobSpec>();
  readonly processes = new Map<NodeName, ControllerProcess>();
  /** Port of each controller's public address. */
  readonly httpPorts = new Map<string, number>();
  readonly stateFaults = new Map<string, StateFaults>();
  /** Logged errors, lines that are not JSON, and unexpected ends of controller processes. */
  readonly controllerErrors: string[] = [];
  /** All log lines, each after the time of its receipt in ms and the controller's name. */
  readonly logLines: string[] = [];
  /** The longest delay of a tick: for that long this process, with all stand-ins, was blocked. */
  longestStall: Duration = 0;
  /** One link per ordered pair of controllers, under the key `from>to`. */
  private readonly links = new Map<string, TcpLink>();
  private readonly servers: StandInServer[] = [];
  private readonly tempDirectory = mkdtempSync(join(tmpdir(), 'tealdock-soak-'));
  private timer: NodeJS.Timeout | null = null;
  private readonly removeTempDirectory = () =>
    rmSync(this.tempDirectory, { recursive: true, force: true });

  constructor(
    private readonly machineCount: number,
    private readonly times: SiteTimes,
    private readonly random: () => number,
  ) {
    process.once('exit', this.removeTempDirectory);
    const now = () => performance.now();
    const limits = new Map([['team', this.cpuLimit]]);
    this.checker = new RuleChecker(now, limits, times.cancellationLimit);
    this.state = new FakeState(now, { requestsPerSecond: 250, writesPerSecond: 60 });
    this.state.limits = { maxValueBytes: 16 * 1024, maxTransactionWrites: 12 };
    this.cloud = new FakeCloud(now, machineCount, (id) => this.workers.removeMachine(id));
    this.workers = new SoakWorkers({
      now,
      times,
      checker: this.checker,
      jobSpecs: this.jobSpecs,
      httpPorts: this.httpPorts,
    });
  }

  private get cpuLimit(): number {
    return Math.floor(this.machineCount * MACHINE_TYPE.cpus * TEAM_CPU_LIMIT_FRACTION);
  }

  async start(): Promise<void> {
    const cloud = await this.serve((_method, path, body, done) =>
      done(this.cloud.handle(path, body)),
    );
    const operatorFile = join(this.tempDirectory, 'operator.ini');
    writeFileSync(operatorFile, operatorSettings(this.times));
    const ports = new Map<NodeName, NodePorts>();
    for (const name of NODES) ports.set(name, await this.openPorts(name));
    for (const [from, { peerLinkPorts }] of ports)
      for (const [to, { peer }] of ports)
        if (to !== from) peerLinkPorts.set(to, await this.openLink(from, to, peer));
    for (const [name, own] of ports) {
      const file = join(this.tempDirectory, `${name}.toml`);
      const limits = { cpus: this.cpuLimit, sockets: this.machineCount * 4 + 500 };
      writeFileSync(file, platformSettings(name, own, cloud, this.times, limits));
      this.httpPorts.set(name, own.http);
      this.processes.set(name, this.createProcess(name, file, operatorFile));
    }
    for (let i = 0; i < this.machineCount; i++) this.cloud.addMachine(i % 2 === 0 ? 'a' : 'b');
    for (const process of this.processes.values()) process.start();
    this.tick(performance.now());
  }

  /** The controller that holds the leader key; null if none does. */
  leader(): NodeName | null {
    const key = this.state.keys.get('tealdock/leader');
    const member = (key?.v as { member?: string } | undefined)?.member;
    return NODES.find((name) => name === member) ?? null;
  }

  /** The links from and to a controller. */
  linksOf(name: NodeName): TcpLink[] {
    return [...this.links]
      .filter(([pair]) => pair.split('>').includes(name))
      .map(([, link]) => link);
  }

  setStateFaults(name: NodeName, faults: Partial<StateFaults>): void {
    this.stateFaults.set(name, { ...(this.stateFaults.get(name) ?? NO_FAULTS), ...faults });
  }

  /** Ends all faults; from now on the checker reports jobs whose requests stay unanswered. */
  endFaults(): void {
    this.stateFaults.clear();
    this.state.refusedNodes.clear();
    if (this.state.down) this.state.restore();
    for (const link of this.links.values()) link.resume();
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
    process.off('exit', this.removeTempDirectory);
    this.removeTempDirectory();
  }

  /** Each controller gets its own stand-in server, so that state faults can affect it alone. */
  private async openPorts(name: NodeName): Promise<NodePorts> {
    const state = await this.serve((method, path, body, done) =>
      this.callState(name, method, path, body, done),
    );
    return { ...listenPortsOf(name), state, peerLinkPorts: new Map() };
  }

  private async openLink(from: NodeName, to: NodeName, peer: number): Promise<number> {
    const link = new TcpLink(peer);
    this.links.set(`${from}>${to}`, link);
    return link.listen();
  }

  private async serve(handle: RequestHandler): Promise<number> {
    const listening = await serveStandIn(handle);
    this.servers.push(listening);
    return listening.port;
  }

  private createProcess(name: NodeName, file: string, operatorFile: string): ControllerProcess {
    return new ControllerProcess(name, file, operatorFile, {
      onLogLine: (node, line) => this.noteLogLine(node, line),
      onUnexpectedExit: (node, code) =>
        this.controllerErrors.push(`${node} ended by itself: ${code ?? 'signal'}`),
    });
  }

  private noteLogLine(node: string, line: string): void {
    this.logLines.push(`${Math.round(performance.now())} ${node} ${line}`);
    if (!line.startsWith('{')) return void this.controllerErrors.push(`${node}: ${line}`);
    const { level = 0, msg = '' } = JSON.parse(line) as LogLine;
    if (level >= ERROR_LOG_LEVEL) this.controllerErrors.push(`${node}: ${msg}: ${line}`);
  }

  private callState(
    node: string,
    method: string,
    path: string,
    body: unknown,
    done: (result: CallResult) => void,
  ): void {
    const faults = this.stateFaults.get(node) ?? NO_FAULTS;
    const { responsesLost, responseDelay, commitDelay } = faults;
    if (faults.callsDropped || (faults.watchesDropped && path.startsWith('/changes'))) return;
    const callService = (answer: (result: CallResult) => void) =>
      this.state.handle(method, path, body, answer, node);
    if (commitDelay > 0 && path === '/commit') {
      return void setTimeout(() => callService(() => undefined), commitDelay);
    }
    if (responsesLost && this.random() < 0.3) return callService(() => undefined);
    callService(
      responseDelay > 0 ? (result) => void setTimeout(() => done(result), responseDelay) : done,
    );
  }

  /** Advances all stand-ins; expired leases end their tasks before the checker runs. */
  private tick(scheduledAt: number): void {
    this.longestStall = Math.max(this.longestStall, performance.now() - scheduledAt);
    this.state.tick();
    for (const machine of this.cloud.machines.values())
      if (machine.readyAt <= performance.now()) void this.workers.start(machine);
    this.workers.tick();
    this.checker.check();
    const next = performance.now() + TICK_INTERVAL_MS;
    this.timer = setTimeout(() => this.tick(next), TICK_INTERVAL_MS);
  }
}
