/**
 * Smoke test of the built bundle: starts a node as a real process with sockets on loopback and
 * in-memory stand-ins for the state service and the cloud, and runs the commands against it.
 */
import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { HttpClient } from '@tealdock/adapters';
import { FakeCloud, FakeState, job } from './index.js';
import { spawnGuarded } from './soak/child-guard.js';
import { LOOPBACK } from './soak/loopback.js';
import { listenPortsOf } from './soak/site-times.js';
import { closeStandIn, serveStandIn } from './soak/stand-in-server.js';

const BUNDLE = 'target/main.cjs';
const STARTUP_TIMEOUT_MS = 20_000;

function settingsText(ports: { http: number; peer: number; state: number; cloud: number }): string {
  return [
    'member = "n-0"',
    'zone = "a"',
    `public_addr = "${LOOPBACK}:${ports.http}"`,
    `cluster_listen = "${LOOPBACK}:${ports.peer}"`,
    '[external]',
    `cloud = "${LOOPBACK}:${ports.cloud}"`,
    `state = "${LOOPBACK}:${ports.state}"`,
    '[settings]',
    'zones = ["a", "b"]',
    '[[settings.teams]]',
    'name = "team"',
    '[settings.workers]',
    'report_s = 3.0\nlease_s = 20.0\ncancel_s = 45.0',
    '[settings.state]',
    'rps = 100.0\nwrite_rps = 50.0\nvalue_kb = 4.0\ntxn_ops = 8',
    '[settings.cloud]',
    'rps = 6.0\nlist_lag_s = 1.0',
    '',
  ].join('\n');
}

async function isHealthy(port: number): Promise<boolean> {
  const client = new HttpClient(1);
  const call = { host: LOOPBACK, port, method: 'GET', path: '/healthz', body: null };
  const result = await client.request({ ...call, timeout: 1000 });
  return result.kind === 'answer' && result.status === 200;
}

async function waitUntilHealthy(port: number): Promise<void> {
  const end = performance.now() + STARTUP_TIMEOUT_MS;
  while (!(await isHealthy(port))) {
    assert.ok(performance.now() < end, 'the node never became healthy');
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

/** Runs a command of the bundle; asynchronous, so that the stand-ins in this process can answer. */
function runCommand(args: string[]): Promise<{ code: number | null; out: string; err: string }> {
  const child = spawn(process.execPath, [BUNDLE, ...args]);
  let [out, err] = ['', ''];
  child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()));
  return new Promise((resolve) => child.on('close', (code) => resolve({ code, out, err })));
}

async function testCommands(node: string, folder: string): Promise<void> {
  const file = join(folder, 'job.toml');
  const fields = Object.entries(job(7)).filter(([, value]) => value !== null);
  writeFileSync(file, fields.map(([k, v]) => `${k} = ${JSON.stringify(v)}`).join('\n'));
  const submitted = await runCommand(['submit', '--node', node, file]);
  assert.equal(submitted.code, 0, submitted.err);
  assert.match(submitted.out, /run-000007 status=queued/);
  const cancelled = await runCommand(['cancel', '--node', node, 'run-000007']);
  assert.match(cancelled.out, /status=aborted/);
  const afterCancellation = await runCommand(['status', '--node', node, 'run-000007']);
  assert.match(afterCancellation.out, /status=aborted/);
  const unknown = await runCommand(['status', '--node', node, 'run-000008']);
  assert.equal(unknown.code, 1);
  assert.match(unknown.err, /404/);
}

function testInvalidSettings(folder: string): void {
  const bad = join(folder, 'bad.toml');
  writeFileSync(bad, 'member = "n-0"\nzone = 3\n');
  const checked = spawnSync(process.execPath, [BUNDLE, 'check-config', '--config', bad]);
  assert.equal(checked.status, 2);
  assert.match(checked.stderr.toString(), /^tealdock: .*zone: /);
  assert.equal(checked.stderr.toString().trim().split('\n').length, 1);
}

async function main(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'tealdock-smoke-'));
  const now = () => performance.now();
  const [state, cloud] = [new FakeState(now), new FakeCloud(now, 0, () => undefined)];
  const stateServer = await serveStandIn((method, path, body, done) =>
    state.handle(method, path, body, done),
  );
  const cloudServer = await serveStandIn((_method, path, body, done) =>
    done(cloud.handle(path, body)),
  );
  const clock = setInterval(() => state.tick(), 50);
  const ports = {
    ...listenPortsOf('n-0'),
    state: stateServer.port,
    cloud: cloudServer.port,
  };
  const file = join(folder, 'node.toml');
  writeFileSync(file, settingsText(ports));
  const node = spawnGuarded(process.execPath, [BUNDLE, 'serve', '--config', file], {
    stdio: 'ignore',
  });
  try {
    await waitUntilHealthy(ports.http);
    await testCommands(`${LOOPBACK}:${ports.http}`, folder);
    testInvalidSettings(folder);
    process.stdout.write('smoke: the built service starts, answers and checks its settings\n');
  } finally {
    node.kill('SIGKILL');
    clearInterval(clock);
    rmSync(folder, { recursive: true });
    for (const server of [stateServer, cloudServer]) closeStandIn(server);
  }
}

await main();
