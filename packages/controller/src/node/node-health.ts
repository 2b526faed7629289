/** Whether load balancers should send requests to this node. */
import type { Instant } from '@tealdock/wire';
import type { Catalog } from '../machines/catalog.js';
import type { Peers } from '../peers/peers.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';

/** A new node is healthy once it can judge submissions, or after this long anyway. */
const STARTUP_GRACE_MS = 6000;

/** Judges the health of this node. */
export class NodeHealth {
  private startedAt: Instant = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly catalog: Catalog,
    private readonly peers: Peers,
  ) {}

  /** The node starts now. */
  start(): void {
    this.startedAt = this.runtime.now;
  }

  /**
   * In an outage common to all, nodes stay healthy: removals would only double
   * the load balancer's pause. A node cut off from everything is unhealthy.
   */
  get isHealthy(): boolean {
    const isStarting = this.runtime.now - this.startedAt < STARTUP_GRACE_MS;
    if (isStarting && !this.catalog.isLoaded) return false;
    return this.state.isAvailable || this.peers.hasLivePeer;
  }
}
