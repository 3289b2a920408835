package io.kumquatspindle.engine.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.api.config.Configuration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("TicketValidator")
class TicketValidatorTests {
  private static final String HEAD = "{\"number\":2,\"filing\":\"f\",\"author\":\"ann\",";

  @Test
  @DisplayName("finds no error in a valid first ticket")
  void valid() {
    assertEquals(
        List.of(), TicketValidator.validate(Configuration.EMPTY, Tickets.ticket(Tickets.BASE)));
  }

  @Test
  @DisplayName("finds all errors of a ticket at once")
  void reportsAllErrors() {
    String json = "{\"number\":5,\"models\":[{\"memoryMb\":0,\"maxReplicas\":-1}]}";
    assertEquals(
        List.of(
            "ticket: number must be 2 but is 5",
            "ticket: filing is missing",
            "ticket: author is missing",
            "model at position 0: name is missing",
            "model at position 0: memoryMb must be from 1 to 1000000000 but is 0",
            "model at position 0: maxReplicas must be from 1 to 100000 but is -1"),
        TicketValidator.validate(Tickets.base(), Tickets.ticket(json)));
  }

  // Each row is the body of a ticket with one error, in single quotes for readability, and its
  // message.
  @ParameterizedTest(name = "{1}")
  @DisplayName("names the object and the field of an error")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '^',
      value = {
        "'models':[{'name':'x','memoryMb':90000,'maxReplicas':1}]"
            + "|model x: memoryMb 90000 fits on no engine endpoint",
        "'adapters':[{'name':'x','model':'m1','memoryMb':60000,'maxReplicas':1}]"
            + "|adapter x: memoryMb 60000 fits on no engine endpoint beside model m1",
        "'adapters':[{'name':'x','model':'no','memoryMb':1,'maxReplicas':1}]"
            + "|adapter x: model names model no, which does not exist",
        "'adapters':[{'name':'m1','model':'m1','memoryMb':1,'maxReplicas':1}]"
            + "|adapter m1: name is also the name of a model",
        "'models':[{'name':'x','memoryMb':1,'maxReplicas':1},{'name':'x','memoryMb':1,"
            + "'maxReplicas':1}]|model x: name appears more than once in the ticket",
        "'customers':[{'name':'x','tokensPerSecond':-1,'burstTokens':1}]"
            + "|customer x: tokensPerSecond must be from 1 to 1000000000 but is -1",
        "'customers':[{'name':'x','tokensPerSecond':1,'burstTokens':1,'artifacts':['no']}]"
            + "|customer x: artifacts names no, which does not exist",
        "'services':[{'name':'x','endpoints':['e1']}]"
            + "|service x: endpoints names endpoint e1, which is not of kind SERVICE",
        "'services':[{'name':'x','endpoints':['no']}]"
            + "|service x: endpoints names endpoint no, which does not exist",
        "'endpoints':[{'name':'x','failureDomain':'z','url':'http://10.0.0.1:1','kind':'SERVICE'}]"
            + "|endpoint x: failureDomain z is not in limits.failureDomains",
        "'endpoints':[{'name':'x','failureDomain':'a','url':'https://10.0.0.1:1','kind':'SERVICE'}]"
            + "|endpoint x: url must start with http:// but is https://10.0.0.1:1",
        "'endpoints':[{'name':'x','failureDomain':'a','url':'http://host:1','kind':'SERVICE'}]"
            + "|endpoint x: url must have an IP address as host but is http://host:1",
        "'endpoints':[{'name':'x','failureDomain':'a','url':'http://127.0.0.1:9001',"
            + "'kind':'SERVICE'}]|endpoint x: url has the same address as endpoint e1",
        "'openRoutes':[{'path':'x','service':'book','servicePath':'/'}]"
            + "|open route x: path must start with / but is x",
        "'openRoutes':[{'path':'/v1/x','service':'book','servicePath':'/'}]|open route /v1/x: "
            + "path must not be under /v1/, which needs a key, but is /v1/x",
        "'openRoutes':[{'path':'/x/../v1/y','service':'book','servicePath':'/'}]|open route "
            + "/x/../v1/y: path must not have empty, . or .. segments but is /x/../v1/y",
        "'remove':{'models':['m1'],'adapters':['a1']}"
            + "|customer c1: artifacts names m1, which this ticket removes",
        "'remove':{'endpoints':['s1']}"
            + "|service book: endpoints names endpoint s1, which this ticket removes",
        "'remove':{'models':['no']}|remove model no: it does not exist",
        "'limits':{'failureDomains':['a','b'],'slotsPerDomain':1,'storeLoadsAtOnce':1,"
            + "'storeLoadsPerSecond':'NaN','adapterLoadsAtOnce':1}"
            + "|limits: storeLoadsPerSecond must be above 0 and at most 100000 but is NaN"
      })
  void singleError(String body, String error) {
    String json = HEAD + body.replace('\'', '"') + "}";
    assertEquals(List.of(error), TicketValidator.validate(Tickets.base(), Tickets.ticket(json)));
  }

  @Test
  @DisplayName("rejects a key of an unknown customer")
  void unknownCustomer() {
    String hash = "1".repeat(64);
    String json = HEAD + "\"keys\":[{\"hash\":\"" + hash + "\",\"customer\":\"no\"}]}";
    assertEquals(
        List.of("key " + hash + ": customer names customer no, which does not exist"),
        TicketValidator.validate(Tickets.base(), Tickets.ticket(json)));
  }
}
