/* eslint-disable -- plain JavaScript without types */
/** A small deployment on loopback: three controllers as processes, and stand-ins for the rest. */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { HOST, call, freePorts, sleep } from './http.mjs';
import { StateService } from './state-service.mjs';
import { Worker } from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** A script may run for 120 s. */
const LONGEST_RUN_MS = 118_000;

/** The command of the deploy file, without the settings file. */
function deployedCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8');
  const [program, ...args] = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  return [program, args];
}

export class Site {
  nodes = [];
  jobs = new Map();
  workers = [];
  /** Ends of controllers that this test did not cause. */
  unexpectedEnds = [];
  #children = new Map();
  #record = [];
  #startedAt = performance.now();

  /** `options`: `zones`, `teams`, `times`, `state`, `catalog`, `machines`. */
  constructor(options) {
    Object.assign(this, options);
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.stateService = new StateService(options.state);
    this.cloud = new Cloud(options.catalog, options.machines ?? []);
    process.on('exit', () => this.#killAll());
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));
  }

  async start() {
    await this.stateService.start();
    await this.cloud.start();
    this.cloud.onReturned = (id) => {
      this.note({ event: 'returned', host: id });
      this.workers.find(({ machine }) => machine.ref === id)?.close();
    };
    const ports = await freePorts(6);
    this.nodes = [0, 1, 2].map((i) => ({
      member: `dockhand-${i}`,
      zone: this.zones[i % this.zones.length],
      port: ports[i],
      peerPort: ports[3 + i],
    }));
    for (const node of this.nodes) {
      node.file = join(this.directory, `${node.member}.toml`);
      writeFileSync(node.file, this.#settings(node));
      this.startNode(node);
    }
    const isUp = await this.until(
      async () => {
        const answers = await Promise.all(
          this.nodes.map(({ port }) => call({ port, path: '/healthz', timeout: 1000 })),
        );
        return answers.every(({ status }) => status === 200) && this.stateService.leader();
      },
      20_000,
      300,
    );
    if (!isUp) throw new Error('the controllers did not come up');
    for (const machine of this.machines ?? []) {
      const worker = new Worker(this, machine, this.workers.length % 3);
      this.workers.push(worker);
      await worker.start();
    }
  }

  startNode(node) {
    const [program, args] = deployedCommand();
    const log = openSync(join(this.directory, `${node.member}.log`), 'a');
    const child = spawn(program, [...args, node.file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', log],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.#children.set(node.member, child);
    child.on('exit', (code, signal) => {
      if (this.#children.get(node.member) !== child) return;
      this.#children.delete(node.member);
      this.unexpectedEnds.push({ member: node.member, code, signal });
      this.note({ event: 'controller ended by itself', member: node.member, code, signal });
    });
  }

  /** Kills a controller, as the platform does. */
  killNode(node) {
    const child = this.#children.get(node.member);
    this.#children.delete(node.member);
    child?.kill('SIGKILL');
    this.note({ event: 'killed', member: node.member });
  }

  log(node) {
    return readFileSync(join(this.directory, `${node.member}.log`), 'utf8');
  }

  /** Repeats `check` until it is true; false if it is not within the limit. */
  async until(check, limitMs, everyMs = 100) {
    const end = performance.now() + limitMs;
    while (performance.now() < end) {
      if (await check()) return true;
      await sleep(everyMs);
    }
    return false;
  }

  now() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  note(event) {
    this.#record.push(`${this.now().toFixed(3)} ${JSON.stringify(event)}`);
  }

  /** A job as users describe it; `runMs` is the true run time of a task. */
  describe(ref, fields, runMs) {
    const spec = {
      ref,
      jobclass: 'navcalc',
      owner: this.teams[0].name,
      shape: 'array',
      urgency: 'normal',
      batch: 1,
      cpus: 1,
      accelerators: 0,
      mem_gb: 2.4,
      bundle: 'img-01',
      image_gb: 0.1,
      flavours: null,
      hall: null,
      same_place: false,
      apart: false,
      spare: true,
      expected_s: 10,
      snapshot_s: 0,
      flush_s: 0,
      due_s: null,
      ...fields,
    };
    this.jobs.set(ref, {
      spec,
      run_ms: typeof runMs === 'function' ? runMs : () => runMs ?? 10_000,
    });
    return spec;
  }

  /** Submits as a user does, with repeats for up to 60 s; returns the last answer. */
  async submit(node, spec) {
    return this.#repeat(
      node,
      { method: 'POST', path: '/api/jobs', body: spec },
      'submit',
      spec.ref,
    );
  }

  async cancel(node, ref) {
    const request = { method: 'POST', path: `/api/jobs/${ref}/cancel`, body: {} };
    return this.#repeat(node, request, 'cancel', ref);
  }

  async poll(node, ref) {
    const answer = await call({ port: node.port, path: `/api/jobs/${ref}`, timeout: 2000 });
    this.#noteAnswer('poll', ref, node, answer);
    return answer;
  }

  #noteAnswer(ask, ref, { member }, { status, body, error }) {
    this.note({ ask, ref, member, status, answer: body?.status ?? body?.error ?? error });
  }

  async #repeat(node, request, ask, ref) {
    const end = performance.now() + 60_000;
    for (;;) {
      const answer = await call({ port: node.port, timeout: 5000, ...request });
      this.#noteAnswer(ask, ref, node, answer);
      const isFinal = [200, 201, 400, 422, 404].includes(answer.status);
      if (isFinal || performance.now() > end) return answer;
      await sleep(1000);
    }
  }

  /** Ends everything, and writes the record. */
  finish(recordFile) {
    for (const worker of this.workers) worker.close();
    this.#killAll();
    this.stateService.close();
    this.cloud.close();
    writeFileSync(recordFile, `${this.#record.join('\n')}\n`);
    if (process.env.KEEP !== '1') rmSync(this.directory, { recursive: true, force: true });
  }

  #killAll() {
    for (const child of this.#children.values()) child.kill('SIGKILL');
    this.#children.clear();
  }

  #settings(node) {
    const others = this.nodes.filter((other) => other !== node);
    return [
      `member = "${node.member}"`,
      `zone = "${node.zone}"`,
      `public_addr = "${HOST}:${node.port}"`,
      `cluster_listen = "${HOST}:${node.peerPort}"`,
      ...others.flatMap((other) => [
        '[[members]]',
        `member = "${other.member}"`,
        `zone = "${other.zone}"`,
        `addr = "${HOST}:${other.peerPort}"`,
      ]),
      '[external]',
      `cloud = "${HOST}:${this.cloud.port}"`,
      `state = "${HOST}:${this.stateService.port}"`,
      '[settings]',
      'initial_size = 3',
      `zones = ${JSON.stringify(this.zones)}`,
      'clock_error_ms = 250.0',
      ...this.teams.flatMap((team) => [
        '[[settings.teams]]',
        `name = "${team.name}"`,
        `cpus = ${team.cpus.toFixed(1)}`,
        `cpus_max = ${team.cpus_max.toFixed(1)}`,
        'gpus = 0.0',
        'gpus_max = 0.0',
      ]),
      '[settings.workers]',
      `report_s = ${this.times.report_s.toFixed(1)}`,
      `lease_s = ${this.times.lease_s.toFixed(1)}`,
      'gang_wait_s = 30.0',
      'gang_peer_s = 8.0',
      `cancel_s = ${this.times.cancel_s.toFixed(1)}`,
      '[settings.state]',
      `rps = ${this.state.rps.toFixed(1)}`,
      `write_rps = ${this.state.write_rps.toFixed(1)}`,
      `value_kb = ${this.state.value_kb.toFixed(1)}`,
      `txn_ops = ${this.state.txn_ops}`,
      '[settings.cloud]',
      'rps = 6.0',
      'list_lag_s = 3.0',
      '[settings.machine_limits]',
      'cpu_share = 0.34',
      'mem_mb = 242.0',
      'max_connections = 2000',
      '',
    ].join('\n');
  }
}

/** Settings of the two small deployments of BRIEF. */
export const KELISA = {
  zones: ['cyberjaya-a', 'cyberjaya-b', 'bangi', 'penang'],
  teams: [
    { name: 'fundops', cpus: 56, cpus_max: 192 },
    { name: 'clientdesk', cpus: 96, cpus_max: 272 },
  ],
  times: { report_s: 3, lease_s: 27, cancel_s: 47 },
  state: { rps: 250, write_rps: 20, value_kb: 4, txn_ops: 8 },
  catalog: [
    {
      label: 'kecil',
      cpus: 4,
      accelerators: 0,
      mem_gb: 16,
      cache_gb: 40,
      pull_gb_per_s: 1,
      price: 0.17,
      low_price: 0.06,
      ready_s: 30,
      halls: ['cyberjaya-a', 'cyberjaya-b', 'bangi', 'penang'],
    },
    {
      label: 'sederhana',
      cpus: 8,
      accelerators: 0,
      mem_gb: 64,
      cache_gb: 40,
      pull_gb_per_s: 1,
      price: 0.46,
      low_price: 0.16,
      ready_s: 25,
      halls: ['cyberjaya-a', 'cyberjaya-b', 'bangi', 'penang'],
    },
  ],
};

export const NOORDZEE = {
  zones: ['oostende', 'brugge'],
  teams: [{ name: 'mariene-data', cpus: 200, cpus_max: 0 }],
  times: { report_s: 3, lease_s: 26, cancel_s: 56 },
  state: { rps: 100, write_rps: 40, value_kb: 16, txn_ops: 12 },
  catalog: [
    {
      label: 'gewoon',
      cpus: 8,
      accelerators: 0,
      mem_gb: 32,
      cache_gb: 50,
      pull_gb_per_s: 0.12,
      price: 0.3,
      low_price: 0.09,
      ready_s: 40,
      halls: ['oostende', 'brugge'],
    },
    {
      label: 'zwaar',
      cpus: 64,
      accelerators: 0,
      mem_gb: 256,
      cache_gb: 50,
      pull_gb_per_s: 0.1,
      price: 2.69,
      low_price: 0.83,
      ready_s: 25,
      halls: ['oostende', 'brugge'],
    },
  ],
};

/** The machines of a fleet: `counts` maps a flavour to a number; zones in turn. */
export function fleet(zones, counts) {
  let number = 0;
  return Object.entries(counts).flatMap(([flavour, count]) =>
    Array.from({ length: count }, (_, i) => ({
      ref: `m-${String(++number).padStart(6, '0')}`,
      addr: null,
      flavour,
      hall: zones[i % zones.length],
      spare: false,
    })),
  );
}

/**
 * Runs a case and ends with its exit code: `play(site)` returns what broke the rule, one line
 * each, or none. An error means that the case could not run.
 */
export async function runCase(folder, site, play) {
  const record = join(folder, 'record.txt');
  let code = 2;
  const watchdog = setTimeout(() => {
    site.note({ result: 'could not run', error: 'out of time' });
    site.finish(record);
    process.exit(2);
  }, LONGEST_RUN_MS);
  try {
    await site.start();
    const broken = await play(site);
    code = broken.length > 0 ? 1 : 0;
    site.note({ result: code === 1 ? 'broken' : 'held', broken });
    process.stdout.write(`${code === 1 ? 'broken' : 'held'}\n${broken.join('\n')}\n`);
  } catch (error) {
    site.note({ result: 'could not run', error: String(error) });
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  clearTimeout(watchdog);
  site.finish(record);
  process.exit(code);
}
