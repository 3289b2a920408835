package io.kumquatspindle.api.json;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.DecisionRecord;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Json")
class JsonTests {

  @Test
  @DisplayName("round-trips a configuration with typed map keys")
  void roundTripsConfiguration() throws Exception {
    ArtifactName name = ArtifactName.of("notice");
    Configuration c =
        new Configuration(
            3,
            Map.of(name, new ModelSpec(name, 8000, 2)),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Limits.NONE);
    assertEquals(c, Json.decode(Json.encode(c), Configuration.class));
  }

  @Test
  @DisplayName("round-trips a record with its type, so that a stream can contain several types")
  void roundTripsDecision() throws Exception {
    DecisionRecord r = new DecisionRecord.LoadFinished(9, true, VmId.of("vm-1"));
    assertEquals(r, Json.decode(Json.encode(r), DecisionRecord.class));
  }
}
