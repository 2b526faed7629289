/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return --
   decoded bodies have no types in plain JavaScript */
/** A small deployment on loopback: controllers as the deploy file starts them, and stand-ins. */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse as parseToml } from 'smol-toml';
import { Cloud } from './cloud.mjs';
import { StateService } from './state-service.mjs';
import { Client } from './wire.mjs';
import { Worker } from './worker.mjs';

/** The case could not run. */
export class CaseError extends Error {}

/** Waits. */
export const sleep = (/** @type {number} */ ms) =>
  new Promise((resolve) => setTimeout(() => resolve(null), ms));

/** Waits until the check is true; throws when the time is up. */
export async function waitFor(
  /** @type {string} */ what,
  /** @type {() => boolean} */ check,
  /** @type {number} */ limitMs,
) {
  const startedAt = performance.now();
  while (!check()) {
    if (performance.now() - startedAt > limitMs) throw new CaseError(`${what}: not in time`);
    await sleep(50);
  }
}

async function freePort(/** @type {string} */ host) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, host, () => resolve(null)));
  const { port } = /** @type {import('node:net').AddressInfo} */ (server.address());
  await new Promise((resolve) => server.close(() => resolve(null)));
  return port;
}

/** The controllers listen here, so that no port of a stand-in or client can be taken for theirs. */
const CONTROLLER_HOST = '127.0.0.2';

/**
 * @typedef {{ member: string, zone: string, public: string, peer: string, file: string,
 *   child: import('node:child_process').ChildProcess | null }} Controller
 * @typedef {{ folder: string, zones: string[], nodeZones: string[],
 *   teams: { name: string, cpus: number, cpus_max: number }[],
 *   workers: { report_s: number, lease_s: number, cancel_s: number },
 *   state: { rps: number, write_rps: number, value_kb: number, txn_ops: number,
 *     next?: { write_rps: number, value_kb: number, txn_ops: number } },
 *   lagS: number, types: import('./cloud.mjs').MachineType[], capacity: number,
 *   runMsOf: (piece: string) => number }} SiteOptions
 */

/** Starts, disturbs and ends one deployment, and writes the record of the case. */
export class Site {
  /** @type {Controller[]} */
  controllers = [];
  /** @type {Map<string, Worker>} */
  workers = new Map();
  /** All jobs that users have described, by id. @type {Map<string, any>} */
  jobs = new Map();
  /** @type {string[]} */
  lines = [];
  startedAt = performance.now();
  temp = mkdtempSync(join(tmpdir(), 'tealdock-review-'));
  /** Called with each event of a worker. */
  onWorkerEvent = /** @type {(event: any) => void} */ (() => undefined);

  /** @param {SiteOptions} options */
  constructor(options) {
    this.options = options;
    const { rps, write_rps, value_kb, txn_ops } = options.state;
    this.state = new StateService({ rps, writeRps: write_rps, valueKb: value_kb, txnOps: txn_ops });
    this.cloud = new Cloud(options.types, options.capacity);
    process.on('exit', () => this.endProcesses());
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
      process.on(signal, () => {
        this.record(`ended by ${signal}`);
        this.writeRecord();
        process.exit(2);
      });
  }

  /** Adds a line to the record. @param {string} what @param {unknown} [fields] */
  record(what, fields) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    this.lines.push(`${at} ${what}${fields === undefined ? '' : ` ${JSON.stringify(fields)}`}`);
  }

  writeRecord() {
    writeFileSync(join(this.options.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
  }

  async start() {
    const cloud = await this.cloud.listen();
    this.cloud.onUp = (host) => void this.startWorker(host);
    this.cloud.onGone = (ref) => {
      this.workers.get(ref)?.stop();
      this.workers.delete(ref);
    };
    for (const [index, zone] of this.options.nodeZones.entries()) {
      const member = `dockhand-${index}`;
      const file = join(this.temp, `${member}.toml`);
      const address = `${CONTROLLER_HOST}:${await freePort(CONTROLLER_HOST)}`;
      const peer = `${CONTROLLER_HOST}:${await freePort(CONTROLLER_HOST)}`;
      this.controllers.push({ member, zone, public: address, peer, file, child: null });
    }
    for (const controller of this.controllers) {
      const state = await this.state.listen(controller.member);
      writeFileSync(controller.file, this.settingsOf(controller, cloud, state));
      this.startController(controller);
    }
  }

  /** @param {Controller} own @param {string} cloud @param {string} state */
  settingsOf(own, cloud, state) {
    const { teams, workers, zones, lagS, state: limits } = this.options;
    const table = (/** @type {Record<string, unknown>} */ values) =>
      Object.entries(values)
        .filter(([, value]) => typeof value !== 'object')
        .map(([key, value]) => `${key} = ${JSON.stringify(value)}`);
    const members = this.controllers.filter(({ member }) => member !== own.member);
    return [
      ...table({ member: own.member, zone: own.zone }),
      ...table({ public_addr: own.public, cluster_listen: own.peer }),
      ...members.flatMap(({ member, zone, peer }) => [
        '[[members]]',
        ...table({ member, zone, addr: peer }),
      ]),
      '[external]',
      ...table({ cloud, state }),
      '[settings]',
      `initial_size = ${this.controllers.length}`,
      `zones = ${JSON.stringify(zones)}`,
      'clock_error_ms = 250.0',
      ...teams.flatMap((team) => [
        '[[settings.teams]]',
        ...table({ ...team, gpus: 0, gpus_max: 0 }),
      ]),
      '[settings.workers]',
      ...table(workers),
      '[settings.state]',
      ...table(limits),
      ...(limits.next ? ['[settings.state.next]', ...table(limits.next)] : []),
      '[settings.cloud]',
      `rps = 6.0\nlist_lag_s = ${lagS}`,
      '[settings.machine_limits]',
      'cpu_share = 0.34\nmem_mb = 242.0\nmax_connections = 1500',
      '',
    ].join('\n');
  }

  /** @param {Controller} controller */
  startController(controller) {
    const { run } = /** @type {{ run: string }} */ (
      parseToml(readFileSync('deploy/service.toml', 'utf8'))
    );
    const [program, ...args] = run.split(' ');
    const child = spawn(
      program === 'node' ? process.execPath : program,
      [...args, controller.file],
      {
        stdio: ['ignore', 'ignore', 'pipe'],
        env: { ...process.env, LOG_LEVEL: process.env.CASE_LOG_LEVEL ?? 'info' },
      },
    );
    controller.child = child;
    this.record(`${controller.member} started`);
    child.stderr?.on('data', (text) => {
      for (const line of String(text).split('\n'))
        if (line !== '') this.record(`${controller.member} logs ${line}`);
    });
    child.on('exit', (code, signal) => {
      this.record(`${controller.member} ended`, { code, signal });
      if (controller.child === child) controller.child = null;
    });
  }

  /** @param {Controller} controller */
  kill(controller) {
    controller.child?.kill('SIGKILL');
    controller.child = null;
  }

  /** @param {Controller} controller @param {'SIGSTOP' | 'SIGCONT'} signal */
  signal(controller, signal) {
    this.record(`${controller.member} gets ${signal}`);
    controller.child?.kill(signal);
  }

  leader() {
    return this.controllers.find(({ member }) => member === this.state.leader()) ?? null;
  }

  /** @param {import('./cloud.mjs').Host} host */
  async startWorker(host) {
    const { workers, runMsOf } = this.options;
    const worker = new Worker(
      {
        reportMs: workers.report_s * 1000,
        leaseMs: workers.lease_s * 1000,
        nodes: this.controllers.map(({ member, public: address }) => ({ member, address })),
        jobOf: (ref) => this.jobs.get(ref),
        typeOf: (flavour) => this.options.types.find(({ label }) => label === flavour),
        runMsOf,
        note: (event) => {
          this.record('worker', event);
          this.onWorkerEvent(event);
        },
      },
      host,
    );
    worker.node = this.workers.size % this.controllers.length;
    this.workers.set(host.ref, worker);
    await worker.start();
  }

  /** Waits until all controllers are healthy and one leads. */
  async ready() {
    const client = new Client();
    for (const { public: address } of this.controllers) {
      for (let left = 100; ; left--) {
        const answer = await client.call(address, 'GET', '/healthz', null, 1000);
        if (answer?.status === 200) break;
        if (left === 0) throw new CaseError('a controller does not become healthy');
        await sleep(100);
      }
    }
    client.close();
    await waitFor('a leader', () => this.leader() !== null, 20_000);
  }

  endProcesses() {
    for (const { child } of this.controllers) child?.kill('SIGKILL');
    rmSync(this.temp, { recursive: true, force: true });
  }
}

/**
 * Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 * @param {SiteOptions} options
 * @param {number} limitS
 * @param {(site: Site, isTroubled: boolean) => Promise<string | null>} play what was broken, or null
 */
export async function runCase(options, limitS, play) {
  const site = new Site(options);
  const isTroubled = process.env.TROUBLE !== '0';
  const finish = (/** @type {number} */ code, /** @type {string} */ text) => {
    site.record(`result ${code}: ${text}`);
    site.writeRecord();
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  setTimeout(() => finish(2, 'could not run: out of time'), limitS * 1000);
  process.on('uncaughtException', (error) => finish(2, `could not run: ${error.stack}`));
  try {
    await site.start();
    const broken = await play(site, isTroubled);
    finish(broken === null ? 0 : 1, broken ?? 'the rule held');
  } catch (error) {
    finish(2, `could not run: ${/** @type {Error} */ (error).stack}`);
  }
}
