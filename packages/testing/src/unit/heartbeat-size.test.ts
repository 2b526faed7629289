import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  LONGEST_ENTRY_FORM,
  maxEntryBytesOfJob,
  maxTaskEntryBytes,
  parseSubmission,
  type JobSpec,
} from '@tealdock/wire';
import {
  infeasibilityReason,
  machineResources,
  planRentals,
  resourcesOf,
  taskSlots,
} from '@tealdock/scheduler';
import { job } from '../simulation/small-job.js';

const LARGE = {
  name: 'large',
  cpus: 64,
  gpus: 0,
  memoryGb: 256,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 1,
  boot: 1000,
  zones: ['a'],
};

const smallJob = (overrides: Record<string, unknown> = {}): JobSpec =>
  parseSubmission(job(1, { batch: 1600, cpus: 0.001, mem_gb: 0.001, ...overrides }));

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

test('an entry is counted at its longest, in every state that the protocol names', () => {
  const states = [
    ...['pulling', 'running', 'saving'].map((status) => ({ status })),
    ...['done', 'error', 'no_room', 'in_use', 'no_such', 'stopped'].map((reason) => ({
      status: 'exited',
      reason,
    })),
  ];
  const id = { piece: 'run-000412/99999', try_no: 2 ** 40 };
  const longest = Math.max(...states.map((state) => jsonBytes([{ ...id, ...state }, 0]) - 3));
  const form = { isGang: false, mayBeSaved: false };
  assert.equal(maxTaskEntryBytes(id.piece, id.try_no, form), longest);
  const saved = { ...id, status: 'exited', reason: 'stopped', saved: true };
  assert.equal(
    maxTaskEntryBytes(id.piece, id.try_no, { ...form, mayBeSaved: true }),
    jsonBytes([saved, 0]) - 3,
  );
  assert.ok(maxTaskEntryBytes(id.piece, id.try_no, LONGEST_ENTRY_FORM) > longest);
});

test('a task of a job is counted with its longest index and a higher attempt', () => {
  const spec = smallJob({ batch: 100_000, snapshot_s: 5 });
  const form = { isGang: false, mayBeSaved: true };
  const entry = maxTaskEntryBytes(`${spec.id}/99999`, Number.MAX_SAFE_INTEGER, form);
  assert.equal(maxEntryBytesOfJob(spec), entry);
});

// Guards against machines that are rented for fewer, or taken for more tasks than they can report.
test('machines are rented for as many tasks as their heartbeats can name', () => {
  const spec = smallJob();
  const resources = machineResources(LARGE, 'a');
  const perMachine = taskSlots(resourcesOf(spec), resources);
  assert.ok(perMachine > 600 && perMachine < 800, `${perMachine}`);
  const offering = { type: 'large', zone: 'a', spot: false, price: 1, resources };
  const rented = (free: ReturnType<typeof machineResources>[]) => {
    const capacities = free.map((left) => ({ type: 'large', zone: 'a', spot: false, free: left }));
    return planRentals([{ spec, taskCount: 1600 }], capacities, [offering], 10).length;
  };
  assert.equal(rented([]), 3);
  assert.equal(rented([resources]), 2);
  assert.equal(rented([{ ...resources, heartbeatBytes: 0 }]), 3);
  const team = { name: 'team', cpus: 0, maxCpus: 100, gpus: 0, maxGpus: 0 };
  assert.equal(infeasibilityReason(spec, [team], [LARGE]), null);
});
