/**
 * Smoke test of the built bundle: starts a node as a real process with sockets on loopback and
 * in-memory stand-ins for the state service and the cloud, and runs the commands against it.
 */
import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { HttpClient } from '@tealdock/adapters';
import { MAX_BODY_BYTES } from '@tealdock/wire';
import { FakeCloud, FakeState, job } from './index.js';
import { spawnGuarded } from './soak/child-guard.js';
import { deployedCommand } from './soak/controller-process.js';
import { LOOPBACK } from './soak/loopback.js';
import { listenPortsOf } from './soak/site-times.js';
import { closeStandIn, serveStandIn } from './soak/stand-in-server.js';

const BUNDLE = 'target/main.cjs';
const STARTUP_TIMEOUT_MS = 20_000;
const HOSTILE_BODY_BYTES = 4096;
const ANNOUNCES_A_LIST = 0xdc;
const SENDER_COUNT = 8;
/** Chunks of one byte each, fewer than the limit of a body. */
const CHUNK_COUNT = 65_000;
const PIPELINED_COUNT = 50_000;
/** More unfinished bodies than a node keeps. */
const UNFINISHED_COUNT = 300;

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
    assert.ok(performance.now() < end, 'the node did not become healthy');
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

function connectTo(port: number): Socket {
  // A connection that the node closes may end with an error; what counts is that it ends.
  return connect(port, LOOPBACK).on('error', () => undefined);
}

/** What arrives first on a connection; nothing if it ends before. */
const firstBytes = (socket: Socket): Promise<Buffer> =>
  new Promise((resolve) => {
    socket.once('data', resolve);
    socket.once('close', () => resolve(Buffer.alloc(0)));
  });
const closeOf = (socket: Socket): Promise<void> =>
  new Promise((resolve) => socket.once('close', () => resolve()));

/** Sends bytes on a new connection and returns the status of the first answer. */
async function statusOfAnswerTo(port: number, bytes: Buffer): Promise<number> {
  const socket = connectTo(port);
  socket.write(bytes);
  const answer = await firstBytes(socket);
  socket.destroy();
  return Number(answer.toString('latin1').split(' ')[1]);
}

const requestHead = (method: string, path: string, ...headers: string[]): string =>
  [`${method} ${path} HTTP/1.1`, 'host: node', ...headers, '', ''].join('\r\n');

/** Each of these clients ended a node: out of memory. */
async function testHostileClients(port: number): Promise<void> {
  const body = Buffer.alloc(HOSTILE_BODY_BYTES, ANNOUNCES_A_LIST);
  const head = requestHead('POST', '/api/jobs', `content-length: ${body.length}`);
  const status = await statusOfAnswerTo(port, Buffer.concat([Buffer.from(head), body]));
  assert.equal(status, 400, 'a body that announces more than it holds');

  const inChunks = requestHead('POST', '/hello', 'transfer-encoding: chunked');
  const senders = Array.from({ length: SENDER_COUNT }, () => connectTo(port));
  for (const sender of senders) sender.write(inChunks + '1\r\nx\r\n'.repeat(CHUNK_COUNT));

  const pipelining = Array.from({ length: SENDER_COUNT }, () => connectTo(port));
  const closed = pipelining.map(closeOf);
  const request = requestHead('GET', '/api/jobs/run-000007');
  for (const client of pipelining) client.resume().write(request.repeat(PIPELINED_COUNT));
  await Promise.all(closed);

  await waitUntilHealthy(port);
  for (const sender of senders) sender.destroy();
  await testHeldBodies(port);
}

/** Bodies that never end fill the memory for bodies, but only as long as their senders stay. */
async function testHeldBodies(port: number): Promise<void> {
  const head = requestHead('POST', '/hello', `content-length: ${MAX_BODY_BYTES}`);
  const unfinished = Buffer.concat([Buffer.from(head), Buffer.alloc(MAX_BODY_BYTES - 1)]);
  const senders = Array.from({ length: UNFINISHED_COUNT }, () => connectTo(port));
  const refused = Promise.race(senders.map(firstBytes));
  for (const sender of senders) sender.write(unfinished);
  const answer = await refused;
  assert.match(answer.toString('latin1'), /^HTTP\/1.1 503 /);
  await waitUntilHealthy(port);
  for (const sender of senders) sender.destroy();
  const heartbeat = requestHead('POST', '/hello', 'content-length: 1') + '\x00';
  assert.equal(await statusOfAnswerTo(port, Buffer.from(heartbeat)), 400);
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
  const [program, args] = deployedCommand();
  const node = spawnGuarded(program, [...args, file], { stdio: 'ignore' });
  try {
    await waitUntilHealthy(ports.http);
    await testCommands(`${LOOPBACK}:${ports.http}`, folder);
    testInvalidSettings(folder);
    await testHostileClients(ports.http);
    assert.equal(node.exitCode ?? node.signalCode, null, 'the node ended');
    process.stdout.write('smoke: the built service starts, answers and checks its settings\n');
  } finally {
    node.kill('SIGKILL');
    clearInterval(clock);
    rmSync(folder, { recursive: true });
    for (const server of [stateServer, cloudServer]) closeStandIn(server);
  }
}

await main();
