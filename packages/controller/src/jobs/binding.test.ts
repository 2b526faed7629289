import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '../machines/machine.js';
import { UsageLedger } from '../machines/usage-ledger.js';
import { Binding, type BindingObserver } from './binding.js';

const RESOURCES = { cpus: 2, gpus: 1, memoryGb: 8 };
const NONE = { cpus: 0, gpus: 0, memoryGb: 0 };

/** A machine and a ledger that follow the transitions of one binding, as in a term. */
class Sums implements BindingObserver {
  readonly machine = new Machine('m-1', 'small', 'a', false);
  readonly ledger = new UsageLedger();

  applyUsageChange(binding: Binding, apply: () => void): void {
    this.ledger.applyChange(binding, apply);
    this.machine.usage.invalidate();
  }

  onTaskStateChanged(): void {
    this.machine.usage.invalidate();
  }

  bind(binding: Binding): Binding {
    this.machine.bind(binding);
    this.ledger.add(binding, this.machine.zone);
    return binding;
  }
}

const initial = (observer: BindingObserver) => ({
  identity: { task: 'j/0', job: 'j', index: 0, attempt: 7, machine: 'm-1' },
  requirements: { team: 'red', resources: RESOURCES, image: 'img', imageGb: 4 },
  now: 100,
  observer,
});

test('a task runs from the first heartbeat that shows it with its image', () => {
  const binding = Binding.assigned(initial(new Sums()), false);
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
  const needed = Binding.adopted(initial(new Sums()), 'running', true);
  assert.ok(needed.isObserved);
  assert.ok(!needed.isDispatchedByThisTerm);
  assert.equal(needed.runningSince, 100);
  assert.equal(needed.stopRequest, null);
  const orphan = Binding.adopted(initial(new Sums()), 'fetching', false);
  assert.ok(orphan.isOrphaned);
  assert.equal(orphan.stopRequest?.gracePeriod, 0);
});

test('the sums over bindings follow each transition', () => {
  const sums = new Sums();
  const binding = sums.bind(Binding.assigned(initial(sums), false));
  const { usage } = sums.machine;
  assert.deepEqual([...usage.awaitedImages], [['img', 4]]);
  binding.observe('running', 200);
  assert.equal(usage.awaitedImages.size, 0);
  assert.deepEqual(usage.stopping, NONE);
  binding.requestStop({ gracePeriod: 0, reason: 'test' });
  assert.deepEqual(usage.stopping, RESOURCES);
  assert.deepEqual(sums.ledger.usageAfterStops('red'), NONE);
  binding.setUsage('blue', { ...RESOURCES, cpus: 5 });
  assert.deepEqual(sums.ledger.usageOf('red'), NONE);
  assert.equal(sums.ledger.usageOf('blue').cpus, 5);
  assert.equal(usage.used.cpus, 5);
});

test('the first termination deadline stays, until its passing has been reported', () => {
  const binding = Binding.assigned(initial(new Sums()), false);
  binding.setTerminationDeadline(500);
  binding.setTerminationDeadline(900);
  assert.equal(binding.terminationDeadline, 500);
  binding.markOverdueReported();
  binding.setTerminationDeadline(900);
  assert.equal(binding.terminationDeadline, Infinity);
});
