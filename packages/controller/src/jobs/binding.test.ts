import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Binding } from './binding.js';

/** The longest entry of attempt 7 of task `j/0`: `{"piece":"j/0","try_no":7,"status":"exited","reason":"stopped"},` */
const HEARTBEAT_BYTES = 64;
const RESOURCES = { cpus: 2, gpus: 1, memoryGb: 8, heartbeatBytes: HEARTBEAT_BYTES };

const PLAIN = { isGang: false, mayBeSaved: false };

const INITIAL = {
  identity: { task: 'j/0', job: 'j', index: 0, attempt: 7, machine: 'm-1' },
  requirements: { team: 'red', resources: RESOURCES, image: 'img', imageGb: 4, entryForm: PLAIN },
  now: 100,
  observer: {
    applyUsageChange: (_: Binding, apply: () => void) => apply(),
    onTaskStateChanged: () => undefined,
  },
};

test('runningSince is the first heartbeat that shows the task with its image', () => {
  const binding = Binding.assigned(INITIAL, false);
  assert.ok(binding.isAssigned);
  binding.dispatch(3);
  assert.ok(binding.isDispatched);
  assert.equal(binding.taskState, null);
  binding.observe('fetching', 200);
  assert.equal(binding.runningSince, null);
  binding.observe('running', 300);
  binding.observe('saving', 400);
  assert.equal(binding.runningSince, 300);
  assert.equal(binding.taskState, 'saving');
  assert.ok(binding.isDispatchedByThisTerm);
});

test('an adopted task is observed from the start; one that is not needed is stopped', () => {
  const needed = Binding.adopted(INITIAL, 'running', true);
  assert.ok(needed.isObserved);
  assert.ok(!needed.isDispatchedByThisTerm);
  assert.equal(needed.runningSince, 100);
  assert.equal(needed.stopRequest, null);
  const orphan = Binding.adopted(INITIAL, 'fetching', false);
  assert.ok(orphan.isOrphaned);
  assert.equal(orphan.stopRequest?.gracePeriod, 0);
});

test('the first termination deadline stays until it is reported as missed', () => {
  const binding = Binding.assigned(INITIAL, false);
  binding.setTerminationDeadline(500);
  binding.setTerminationDeadline(900);
  assert.equal(binding.terminationDeadline, 500);
  binding.markOverdueReported();
  binding.setTerminationDeadline(900);
  assert.equal(binding.terminationDeadline, Infinity);
});
