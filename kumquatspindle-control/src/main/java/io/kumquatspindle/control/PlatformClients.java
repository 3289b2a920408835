package io.kumquatspindle.control;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.platform.EndpointOrders;
import io.kumquatspindle.api.platform.EndpointReports;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.VmList;
import io.kumquatspindle.api.platform.WeightStore;
import io.kumquatspindle.control.log.CountingLogService;
import io.kumquatspindle.transport.platform.HttpEndpointOrders;
import io.kumquatspindle.transport.platform.HttpEndpointReports;
import io.kumquatspindle.transport.platform.HttpLogService;
import io.kumquatspindle.transport.platform.HttpMetrics;
import io.kumquatspindle.transport.platform.HttpVmList;
import io.kumquatspindle.transport.platform.HttpWeightStore;
import java.time.Duration;

/**
 * HTTP clients for the platform's services and for endpoints. Their traffic is counted as metrics.
 *
 * @param log the log service
 * @param vmList the VM list
 * @param store the weight store
 * @param orders sends orders to endpoints
 * @param reports reads the reports of endpoints
 */
record PlatformClients(
    LogService log,
    VmList vmList,
    WeightStore store,
    EndpointOrders orders,
    EndpointReports reports) {
  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

  static PlatformClients of(ControlSettings s, MetricRegistry registry) {
    LogService http =
        HttpLogService.builder(s.logUrl()).metrics(HttpMetrics.register(registry, "log")).build();
    return new PlatformClients(
        new CountingLogService(http, registry),
        HttpVmList.builder(s.vmListUrl())
            .metrics(HttpMetrics.register(registry, "vm_list"))
            .build(),
        HttpWeightStore.builder(s.storeUrl())
            .metrics(HttpMetrics.register(registry, "store"))
            .build(),
        HttpEndpointOrders.builder()
            .loadTimeout(s.orderTimeout())
            .metrics(HttpMetrics.register(registry, "endpoint_orders"))
            .build(),
        HttpEndpointReports.builder()
            .timeout(REPORT_TIMEOUT)
            .metrics(HttpMetrics.register(registry, "endpoint_reports"))
            .build());
  }
}
