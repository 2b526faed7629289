import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorkerHeartbeat } from '@tealdock/wire';
import type { Runtime } from '../runtime/runtime.js';
import { ParkedHeartbeats, type HeartbeatRequest } from './parked-heartbeats.js';

const MAX_CONNECTIONS = 2000;

function parkedWith(taskCount: number) {
  const timeouts: (() => void)[] = [];
  const runtime = {
    settings: { maxConnections: MAX_CONNECTIONS },
    stats: { count: () => undefined },
    after: (_delay: number, run: () => void) => timeouts.push(run),
  } as unknown as Runtime;
  const parked = new ParkedHeartbeats(runtime);
  let parkedCount = 0;
  while (!parked.isFull && parkedCount <= MAX_CONNECTIONS) {
    const heartbeat = { tasks: Array<unknown>(taskCount) } as WorkerHeartbeat;
    parked.add({ request: { id: parkedCount++ }, heartbeat } as HeartbeatRequest, () => undefined);
  }
  return { parked, parkedCount, timeouts };
}

// A thousand heartbeats of 64 KiB take several hundred megabytes once they are decoded.
test('parked heartbeats are limited by the number of their tasks as well', () => {
  assert.equal(parkedWith(10).parkedCount, MAX_CONNECTIONS / 2);
  const { parkedCount } = parkedWith(2000);
  assert.ok(parkedCount * 2000 <= 102_000, `${parkedCount} heartbeats of 2,000 tasks`);
});

test('heartbeats that leave the queue make room, once each', () => {
  const { parked, parkedCount, timeouts } = parkedWith(2000);
  let resumedCount = 0;
  parked.resume(() => resumedCount++);
  assert.equal(parked.isFull, false);
  for (const timeout of timeouts.slice(0, parkedCount)) timeout();
  assert.ok(parked.isEmpty);
  assert.equal(resumedCount, parkedCount);
  const again = { tasks: Array<unknown>(100_000) } as WorkerHeartbeat;
  parked.add({ request: { id: -1 }, heartbeat: again } as HeartbeatRequest, () => undefined);
  assert.equal(parked.isFull, true);
});
