import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Binding, type BindingObserver } from '../jobs/binding.js';
import { Machine } from './machine.js';
import { UsageLedger } from './usage-ledger.js';

/** The longest entry of attempt 7 of task `j/0`: `{"piece":"j/0","try_no":7,"status":"exited","reason":"stopped"},` */
const HEARTBEAT_BYTES = 64;
const RESOURCES = { cpus: 2, gpus: 1, memoryGb: 8, heartbeatBytes: HEARTBEAT_BYTES };
const NONE = { cpus: 0, gpus: 0, memoryGb: 0, heartbeatBytes: 0 };
const PLAIN = { isGang: false, mayBeSaved: false };

/** A machine and a ledger that are updated by the transitions of bindings, as in a term. */
class UsageFixture implements BindingObserver {
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
  requirements: { team: 'red', resources: RESOURCES, image: 'img', imageGb: 4, entryForm: PLAIN },
  now: 100,
  observer,
});

test('each transition of a binding updates the sums', () => {
  const sums = new UsageFixture();
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

test('an ended binding no longer counts in the sums, and the machine is idle', () => {
  const sums = new UsageFixture();
  const binding = sums.bind(Binding.assigned(initial(sums), false));
  const { usage } = sums.machine;
  usage.updateIdle(200);
  assert.equal(usage.idleSince, null);
  assert.deepEqual([...sums.ledger.zoneCountsOf('j')], [['a', 1]]);
  assert.ok(sums.machine.unbind(binding, 300));
  sums.ledger.remove(binding, sums.machine.zone);
  assert.ok(!sums.machine.unbind(binding, 300));
  assert.deepEqual(usage.used, NONE);
  assert.deepEqual(sums.ledger.usageOf('red'), NONE);
  assert.equal(sums.ledger.zoneCountsOf('j').size, 0);
  usage.updateIdle(400);
  usage.updateIdle(500);
  assert.equal(usage.idleSince, 400);
});
