import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CommandQueue, Connections, type Closable } from '@tealdock/adapters';
import { socketShares } from '@tealdock/controller';
import { SimulatedCluster, job } from '../index.js';
import { jobId, assertNoViolations, runningTaskCount, readyCluster } from './steps.js';

/** One and a half times the largest fleet that operations.md describes. */
const MACHINE_COUNT = 1300;
const LIMITS = { sockets: 1650, requestsPerSecond: 250, writesPerSecond: 18 };

/** Plans the submission of this many jobs, one every 300 ms; returns their numbers. */
function submitMany(
  cluster: SimulatedCluster,
  jobCount: number,
  overrides: Record<string, unknown>,
): number[] {
  const numbers = Array.from({ length: jobCount }, (_, i) => i + 1);
  for (const n of numbers) {
    cluster.at(n * 300, () => cluster.submit(job(n, overrides), cluster.nodeNames[n % 3]!));
  }
  return numbers;
}

const allDone = (cluster: SimulatedCluster, numbers: number[], tasks: number): boolean =>
  numbers.every((n) => cluster.checker.doneTasks(jobId(n)).size === tasks);

test('a large fleet and all controllers restart: lost tasks start once more, and no lease expires', () => {
  const cluster = readyCluster({ cpuLimit: 20_000, limits: LIMITS }, MACHINE_COUNT);
  const numbers = submitMany(cluster, 40, { batch: 100, expected_s: 30 });
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4000, 40_000));
  const before = cluster.checker.startCount;
  for (const w of cluster.workers.values()) w.reboot();
  for (const n of cluster.nodeNames) cluster.crash(n);
  for (const n of cluster.nodeNames) cluster.at(300, () => cluster.boot(n));
  const from = cluster.now();
  const reconciledCount = () =>
    cluster.logLines.filter((l) => l.message === 'machine registry reconciled').length;
  const [reconciledBefore, lost] = [reconciledCount(), 4000 - runningTaskCount(cluster)];
  assert.ok(
    cluster.runUntil(() => reconciledCount() > reconciledBefore, 15_000),
    'all machines are reconciled',
  );
  assert.ok(cluster.now() - from < cluster.times.lease, 'within the worker lease');
  assert.ok(
    cluster.runUntil(() => allDone(cluster, numbers, 100), 150_000),
    'all tasks are done',
  );
  assertNoViolations(cluster);
  const again = cluster.checker.startCount - before;
  assert.ok(again <= lost + 100, `${again} starts for ${lost} tasks that were lost or waited`);
  const expiredLeases = [...cluster.workers.values()].filter((w) => w.agentEpoch > 2).length;
  assert.equal(expiredLeases, 0, 'no lease expired while heartbeats were queued');
  assert.ok(cluster.processes.maxSocketCount() <= LIMITS.sockets);
  assert.equal(cluster.processes.rejectedRequestCount(), 0);
});

const SHARES = socketShares({ maxConnections: 200, peers: [] });

/** The connection table of a server, with named sockets and a clock that is advanced by hand. */
class ConnectionsHarness {
  time = 0;
  readonly closedSockets: string[] = [];
  private readonly connections = new Connections(SHARES, 5000, () => this.time);
  private readonly sockets = new Map<string, Closable>();

  /** A client sends a request, and connects first if needed; false if it is rejected. */
  request(name: string, client: 'worker' | 'user' | 'probe', answered = true): boolean {
    const socket = this.sockets.get(name) ?? { destroy: () => this.closedSockets.push(name) };
    if (!this.sockets.has(name)) this.connections.connectionOpened(socket);
    this.sockets.set(name, socket);
    const admitted = this.connections.admitRequest(socket, client);
    if (answered) this.connections.requestAnswered(socket);
    if (this.connections.mustCloseAfterAnswer(socket)) this.connections.connectionClosed(socket);
    return admitted;
  }

  advance(duration: number): void {
    this.time += duration;
    this.connections.closeIdleConnections();
  }

  get workerCount(): number {
    return this.connections.counts().worker;
  }
}

// Machines that die close no connection; each left one open for two minutes.
test('connections of dead machines are closed in time for the machines that replace them', () => {
  const table = new ConnectionsHarness();
  for (let generation = 0; generation < 20; generation++) {
    for (let i = 0; i < SHARES.workers / 2; i++) {
      assert.ok(
        table.request(`m-${generation}-${i}`, 'worker'),
        `machine ${i} of generation ${generation}`,
      );
    }
    table.advance(21_000);
  }
  assert.equal(table.workerCount, 0);
});

test('a worker that sends its heartbeats in time keeps its connection', () => {
  const table = new ConnectionsHarness();
  for (let i = 0; i < 20; i++) {
    table.request('m-1', 'worker');
    table.advance(6250);
  }
  assert.deepEqual(table.closedSockets, []);
});

test('when sockets run out, idle users are disconnected, workers stay and probes are answered', () => {
  const table = new ConnectionsHarness();
  for (let i = 0; i < SHARES.clients; i++) assert.ok(table.request(`user-${i}`, 'user'));
  for (let i = 0; i < SHARES.workers; i++) assert.ok(table.request(`m-${i}`, 'worker'));
  assert.deepEqual(
    table.closedSockets,
    Array.from({ length: SHARES.workers }, (_, i) => `user-${i}`),
    'those that had been idle for the longest',
  );
  assert.equal(table.request('m-late', 'worker'), false, 'a share is reserved for users');
  for (let i = 0; i < SHARES.clients; i++) table.request(`busy-${i}`, 'user', false);
  assert.equal(table.request('user-late', 'user'), false);
  assert.ok(table.request('probe', 'probe'));
  assert.equal(table.workerCount, SHARES.workers);
});

test('sockets are reserved for own calls and peer links whatever the host allows', () => {
  for (const all of [64, 100, 500, 1500, 20_000]) {
    const shares = socketShares({ maxConnections: all, peers: [] });
    assert.ok(shares.clients > 0 && shares.workers < shares.clients);
    assert.ok(shares.clients + shares.rejected < all);
  }
});

test('no more machines are rented than the leader has sockets for', () => {
  const limits = { ...LIMITS, sockets: 150 };
  const cluster = new SimulatedCluster({ capacity: 400, cpuLimit: 5000, limits });
  cluster.run(5000);
  cluster.submit(job(1, { batch: 1200, spare: true, expected_s: 30 }), 'n-0');
  const done = () => cluster.checker.doneTasks(jobId(1)).size === 1200;
  assert.ok(cluster.runUntil(done, 240_000));
  const { workers } = socketShares({
    maxConnections: limits.sockets,
    peers: cluster.nodeNames.slice(1).map((member) => ({ member, address: '' })),
  });
  assert.ok(
    cluster.cloud.rentedIds.length <= workers,
    `${cluster.cloud.rentedIds.length} machines`,
  );
  assert.ok(cluster.cloud.rentedIds.length > workers / 2);
  assert.equal(cluster.processes.rejectedRequestCount(), 0);
  assertNoViolations(cluster);
});

// After a field was renamed, the cost limit did not reach the rental plan, and any price was paid.
test('work that is not urgent waits for a cheap machine, but an expensive one is rented in time', () => {
  const cluster = new SimulatedCluster({ capacity: 10 });
  cluster.run(5000);
  // One CPU of a machine of four that is not spot: more expensive than the cheapest slot allows.
  cluster.submit(job(1, { batch: 1 }), 'n-0');
  cluster.run(30_000);
  assert.deepEqual(cluster.cloud.rentedIds, [], 'no expensive machine while there is time');
  const done = () => cluster.checker.doneTasks(jobId(1)).size === 1;
  assert.ok(cluster.runUntil(done, 90_000), 'the task is done nevertheless');
  assert.equal(cluster.cloud.rentedIds.length, 1);
  assertNoViolations(cluster);
});

// Behind a thousand heartbeats, the answer to a lease renewal was processed too late for the lease.
test('results of own calls are processed before a thousand queued heartbeats', () => {
  const queue = new CommandQueue();
  const report = { method: 'POST', path: '/hello', body: Buffer.alloc(0), via: 'public' } as const;
  for (let id = 0; id < 1000; id++) queue.push({ kind: 'request', id, ...report });
  queue.push({ kind: 'result', id: 1, result: { kind: 'unsent' } });
  const first = queue.nextBatch();
  assert.equal(first[0]?.kind, 'result');
  assert.ok(
    first.length < 100,
    'the effects of the first batch leave before the rest is processed',
  );
  const rest: number[] = [];
  for (let batch = first; batch.length > 0; batch = queue.nextBatch()) {
    for (const c of batch) if (c.kind === 'request') rest.push(c.id);
  }
  assert.deepEqual(
    rest,
    Array.from({ length: 1000 }, (_, i) => i),
  );
});
