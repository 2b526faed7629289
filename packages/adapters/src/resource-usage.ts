/** Resource usage of the process, for the log and the gauges. */
import type { Instant } from '@tealdock/wire';
import type { Log, Stats } from '@tealdock/controller';
import type { Connections } from './connections.js';

const BYTES_PER_MB = 1024 * 1024;
const MICROSECONDS_PER_MS = 1000;

/** Reports the CPU time, memory and connections of this process as gauges and in the log. */
export class ResourceUsage {
  private measuredCpu = process.cpuUsage();
  private measuredAt: Instant = performance.now();

  constructor(
    private readonly connections: Connections,
    private readonly stats: Stats,
    private readonly log: Log,
  ) {}

  /** Measures and reports the usage; the CPU time is that since the last report. */
  report(): void {
    const usage = { ...this.processor(), ...memory(), ...this.connections.counts() };
    for (const [name, value] of Object.entries(usage)) this.stats.setGauge(`usage.${name}`, value);
    this.log('info', usage, 'resource usage');
  }

  /** CPU time as a percentage of one core. */
  private processor(): { cpuPercent: number } {
    const { user, system } = process.cpuUsage(this.measuredCpu);
    const elapsed = performance.now() - this.measuredAt;
    this.measuredCpu = process.cpuUsage();
    this.measuredAt = performance.now();
    const busy = (user + system) / MICROSECONDS_PER_MS;
    return { cpuPercent: Math.round((100 * busy) / elapsed) };
  }
}

function memory(): Record<string, number> {
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage();
  const megabytes = (bytes: number) => Math.round(bytes / BYTES_PER_MB);
  return {
    memoryMb: megabytes(rss),
    heapMb: megabytes(heapUsed),
    buffersMb: megabytes(arrayBuffers),
  };
}
