extern "C" {
#include <libwlcore/msg.h>
}

#include <cstring>

#include <gtest/gtest.h>

static wl_str_t str(const char *text)
{
	return wl_str_from(text);
}

TEST(Record, PackedMessageComesBackWhole)
{
	wl_msg_t msg;
	wl_msg_t back;
	wl_buf_t bytes = {};
	wl_err_t err = {};

	wl_msg_init(&msg, WL_MSG_REQUEST);
	msg.u.request.id = 7;
	wl_buf_set(&msg.u.request.customer, str("norrlamp"));
	wl_headers_add(&msg.u.request.headers, str("X-One"), str("1"));
	wl_msg_pack(&msg, &bytes);

	ASSERT_TRUE(wl_msg_unpack(wl_buf_str(&bytes), &back, &err)) << err.text;
	EXPECT_EQ(back.u.request.id, 7u);
	EXPECT_STREQ(back.u.request.customer.at, "norrlamp");
	EXPECT_STREQ(wl_headers_find(&back.u.request.headers, str("x-one"))->at, "1");

	wl_msg_free(&msg);
	wl_msg_free(&back);
	wl_buf_free(&bytes);
}

TEST(Record, EveryTruncationIsRefused)
{
	wl_msg_t msg;
	wl_buf_t bytes = {};
	wl_err_t err = {};

	wl_msg_init(&msg, WL_MSG_ANNOUNCE);
	wl_buf_set(&msg.u.announce.announce.name, str("w1"));
	wl_strings_add(&msg.u.announce.announce.services, str("tube-sort"));
	wl_msg_pack(&msg, &bytes);
	for (size_t len = 0; len < bytes.len; len++) {
		wl_msg_t back;

		EXPECT_FALSE(wl_msg_unpack({bytes.at, len}, &back, &err)) << len;
	}
	wl_msg_free(&msg);
	wl_buf_free(&bytes);
}

TEST(Record, ArrayLongerThanItsBytesIsRefused)
{
	const char bytes[] = "\x08\xdd\xff\xff\xff\xff";
	wl_msg_t msg;
	wl_err_t err = {};

	EXPECT_FALSE(wl_msg_unpack({bytes, sizeof(bytes) - 1}, &msg, &err));
}

TEST(Record, JsonErrorNamesTheField)
{
	wl_plans_t plans;
	wl_err_t err = {};

	EXPECT_FALSE(wl_record_from_json(&wl_plans_schema,
					 str("{\"plans\":[{\"name\":\"reclaim\",\"weight\":-1}]}"),
					 &plans, &err));
	EXPECT_STREQ(err.text, "plans[0].weight: must be a whole number, not negative");
	EXPECT_FALSE(wl_record_from_json(&wl_plans_schema, str("{\"plan\":[]}"), &plans, &err));
	EXPECT_STREQ(err.text, "plan: unknown field");
}
